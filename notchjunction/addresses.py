"""Network addresses: a host and a port."""

from __future__ import annotations

Address = tuple[str, int]
MAX_PORT = 65535


def address_of(text: str) -> Address:
    """Returns the address that `host:port` names; an IPv6 host may stand in brackets.

    Raises ValueError for a port that is missing or no number.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def text_of(address: Address) -> str:
    """Returns the address as `host:port`."""
    return f"{address[0]}:{address[1]}"
