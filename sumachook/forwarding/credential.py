"""An API key as sent by a client."""

from hashlib import blake2b

DIGEST_BYTES = 16


class Credential:
    """Wraps an API key so that it never appears in logs or texts; only its digest can be read.

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
        """Returns the digest of the API key, keyed with a secret of at most 64 bytes.

        Keys are compared by their digests: without the secret, the time of a comparison reveals nothing about a key.
        """
        text = self._text.encode("utf-8", "surrogatepass")
        return blake2b(text, key=secret, digest_size=DIGEST_BYTES).digest()
