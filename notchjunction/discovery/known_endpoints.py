"""The servers that this node knows of, as the list and its changes have told them so far. No sockets."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from notchjunction.addresses import Address, text_of
from notchjunction.discovery.endpoint_list import ServerList, row
from notchjunction.discovery.endpoints import Listed, Presence


class KnownServers:
    """Servers by name, and their addresses; one that the list says is gone is not kept."""

    def __init__(self) -> None:
        self._listed: dict[str, Listed] = {}
        self._addresses: dict[str, Address] = {}

    def __len__(self) -> int:
        return len(self._listed)

    def take(self, news: ServerList) -> ServerList:
        """Takes in a list or changes; what of it is new, as changes wherever anything was known before."""
        if news.older:
            news = replace(news, servers=tuple(self._still_drained(server) for server in news.servers))
        if news.whole and self._listed:
            # Guards against a whole list of thousands that holds up the node: most of it is known.
            news = self._differences(news)
        self._addresses.update(news.addresses)
        self._listed.update({server.name: server for server in news.servers})
        for server in news.servers:
            if server.presence is Presence.GONE:
                self._addresses.pop(server.name, None)
                self._listed.pop(server.name, None)
        return news

    def ready(self, barred: Collection[str]) -> dict[str, Address]:
        """Who may get anything new, and where: by the list, and by the operators who barred some."""
        return {
            name: self._addresses[name]
            for name, server in self._listed.items()
            if server.presence is Presence.READY and name in self._addresses and name not in barred
        }

    def rows(self) -> list[dict[str, object]]:
        """All of them in the list's own form."""
        return [
            row(server, text_of(self._addresses[name]) if name in self._addresses else None)
            for name, server in self._listed.items()
        ]

    def _differences(self, whole: ServerList) -> ServerList:
        """A whole list as changes to what is known: what it doesn't name is gone."""
        named = {server.name for server in whole.servers}
        changed = [server for server in whole.servers if self._differs(server, whole)]
        gone = [
            replace(server, presence=Presence.GONE)
            for name, server in self._listed.items()
            if name not in named
        ]
        for server in changed:
            self._addresses.pop(server.name, None)
        addresses = {
            server.name: whole.addresses[server.name] for server in changed if server.name in whole.addresses
        }
        return replace(whole, whole=False, servers=(*changed, *gone), addresses=addresses)

    def _differs(self, server: Listed, whole: ServerList) -> bool:
        name = server.name
        return self._listed.get(name) != server or self._addresses.get(name) != whole.addresses.get(name)

    def _still_drained(self, server: Listed) -> Listed:
        """Guards against taking a server's drain back on older word; only another start does.

        Another, and not a later one: the wall clock that tells of starts may have been stepped back.
        """
        known = self._listed.get(server.name)
        if known is None or known.presence is not Presence.DRAINING or server.started_at != known.started_at:
            return server
        return replace(server, presence=Presence.DRAINING) if server.presence is Presence.READY else server
