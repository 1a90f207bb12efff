"""Network addresses: a host and a port."""

from __future__ import annotations

Address = tuple[str, int]


def address_of(text: str) -> Address:
    """The address that `host:port` names; an IPv6 host may stand in brackets. ValueError for no port."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def text_of(address: Address) -> str:
    """The address as `host:port`."""
    return f"{address[0]}:{address[1]}"
