"""Network addresses: a host and a port."""

from __future__ import annotations

Address = tuple[str, int]
MAX_PORT = 65535


def address_of(text: str) -> Address:
    """Parses `host:port`; an IPv6 host may be in brackets.

    Raises:
        ValueError: The port is missing or is not a number.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def text_of(address: Address) -> str:
    """Returns the address as `host:port`."""
    return f"{address[0]}:{address[1]}"
