"""The API key that a request bears."""

from hashlib import blake2b

DIGEST_BYTES = 16


class Credential:
    """A key as a client sent it; it shows itself nowhere, and gives only its digest.

    >>> key = Credential("rjvz48wuakn2ftimaj3n")
    >>> key, str(key), key.digest(b"a") == Credential("rjvz48wuakn2ftimaj3n").digest(b"a")
    (Credential(...), 'Credential(...)', True)
    >>> key.digest(b"a") == key.digest(b"b")
    False
    """

    __slots__ = ("_text",)

    def __init__(self, text: str) -> None:
        self._text = text

    def __repr__(self) -> str:
        return "Credential(...)"

    def digest(self, secret: bytes) -> bytes:
        """The key's digest under a secret of at most 64 bytes.

        Digests are what is compared: how long that takes tells nothing of a key to who does not know the secret.
        """
        text = self._text.encode("utf-8", "surrogatepass")
        return blake2b(text, key=secret, digest_size=DIGEST_BYTES).digest()
