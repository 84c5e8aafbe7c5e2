"""Parsing of textual network addresses: an IP address and a port."""


def split_address(address: str) -> tuple[str, int]:
    """Splits "IP:PORT" into host and port; raises `ValueError` if the port is not a number.

    >>> split_address("127.0.0.1:70"), split_address("[::1]:70")
    (('127.0.0.1', 70), ('::1', 70))
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
