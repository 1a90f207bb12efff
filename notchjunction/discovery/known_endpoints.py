"""The servers that this node knows of, as the list and its changes have told them so far. No sockets."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from notchjunction.addresses import Address, text_of
from notchjunction.discovery.endpoint_list import EndpointList, row
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint


class KnownEndpoints:
    """Servers by name, and their addresses; one that the list says is gone is not kept."""

    def __init__(self) -> None:
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._addresses: dict[str, Address] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, news: EndpointList) -> EndpointList:
        """Takes in a list or changes; what of it is new, as changes wherever anything was known before."""
        if news.is_stale:
            news = replace(news, endpoints=tuple(self._still_drained(server) for server in news.endpoints))
        if news.is_snapshot and self._endpoints:
            # Guards against a whole list of thousands that holds up the node: most of it is known.
            news = self._differences(news)
        self._addresses.update(news.addresses)
        self._endpoints.update({server.name: server for server in news.endpoints})
        for server in news.endpoints:
            if server.state is EndpointState.REMOVED:
                self._addresses.pop(server.name, None)
                self._endpoints.pop(server.name, None)
        return news

    def active(self, barred: Collection[str]) -> dict[str, Address]:
        """Who may get anything new, and where: by the list, and by the operators who barred some."""
        return {
            name: self._addresses[name]
            for name, server in self._endpoints.items()
            if server.state is EndpointState.ACTIVE and name in self._addresses and name not in barred
        }

    def rows(self) -> list[dict[str, object]]:
        """All of them in the list's own form."""
        return [
            row(server, text_of(self._addresses[name]) if name in self._addresses else None)
            for name, server in self._endpoints.items()
        ]

    def _differences(self, whole: EndpointList) -> EndpointList:
        """A whole list as changes to what is known: what it doesn't name is gone."""
        named = {server.name for server in whole.endpoints}
        changed = [server for server in whole.endpoints if self._has_changed(server, whole)]
        gone = [
            replace(server, state=EndpointState.REMOVED)
            for name, server in self._endpoints.items()
            if name not in named
        ]
        for server in changed:
            self._addresses.pop(server.name, None)
        addresses = {
            server.name: whole.addresses[server.name] for server in changed if server.name in whole.addresses
        }
        return replace(whole, is_snapshot=False, endpoints=(*changed, *gone), addresses=addresses)

    def _has_changed(self, server: ListedEndpoint, whole: EndpointList) -> bool:
        name = server.name
        return self._endpoints.get(name) != server or self._addresses.get(name) != whole.addresses.get(name)

    def _still_drained(self, server: ListedEndpoint) -> ListedEndpoint:
        """Guards against taking a server's drain back on older word; only another start does.

        Another, and not a later one: the wall clock that tells of starts may have been stepped back.
        """
        known = self._endpoints.get(server.name)
        if (
            known is None
            or known.state is not EndpointState.DRAINING
            or server.started_at != known.started_at
        ):
            return server
        return (
            replace(server, state=EndpointState.DRAINING) if server.state is EndpointState.ACTIVE else server
        )
