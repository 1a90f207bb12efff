"""The endpoints that this node knows from the endpoint list and its changes so far. No I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace

from notchjunction.addresses import Address, text_of
from notchjunction.discovery.endpoint_list import EndpointList, format_row
from notchjunction.discovery.endpoints import EndpointState, ListedEndpoint


class KnownEndpoints:
    """Endpoints by name, and their addresses; removed ones are dropped."""

    def __init__(self) -> None:
        self._endpoints: dict[str, ListedEndpoint] = {}
        self._addresses: dict[str, Address] = {}

    def __len__(self) -> int:
        return len(self._endpoints)

    def apply(self, update: EndpointList) -> EndpointList:
        """Applies an update.

        Returns:
            What is new in it: changes, or the whole snapshot if no endpoint was known before.
        """
        if update.is_stale:
            update = replace(
                update, endpoints=tuple(self._keep_draining(endpoint) for endpoint in update.endpoints)
            )
        if update.is_snapshot and self._endpoints:
            # Guards against a snapshot of thousands of endpoints that blocks the node: most are unchanged.
            update = self._differences(update)
        self._addresses.update(update.addresses)
        self._endpoints.update({endpoint.name: endpoint for endpoint in update.endpoints})
        for endpoint in update.endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self._addresses.pop(endpoint.name, None)
                self._endpoints.pop(endpoint.name, None)
        return update

    def active(self, banned: Collection[str]) -> dict[str, Address]:
        """Returns the addresses of endpoints that may get new requests: active and not `banned`."""
        return {
            name: self._addresses[name]
            for name, endpoint in self._endpoints.items()
            if endpoint.state is EndpointState.ACTIVE and name in self._addresses and name not in banned
        }

    def rows(self) -> list[dict[str, object]]:
        """Returns all endpoints as rows of the list's JSON document."""
        return [
            format_row(endpoint, text_of(self._addresses[name]) if name in self._addresses else None)
            for name, endpoint in self._endpoints.items()
        ]

    def _differences(self, snapshot: EndpointList) -> EndpointList:
        """Returns a snapshot as changes to the known endpoints; those that it does not list are removed."""
        listed = {endpoint.name for endpoint in snapshot.endpoints}
        changed = [endpoint for endpoint in snapshot.endpoints if self._has_changed(endpoint, snapshot)]
        removed = [
            replace(endpoint, state=EndpointState.REMOVED)
            for name, endpoint in self._endpoints.items()
            if name not in listed
        ]
        for endpoint in changed:
            self._addresses.pop(endpoint.name, None)
        addresses = {
            endpoint.name: snapshot.addresses[endpoint.name]
            for endpoint in changed
            if endpoint.name in snapshot.addresses
        }
        return replace(snapshot, is_snapshot=False, endpoints=(*changed, *removed), addresses=addresses)

    def _has_changed(self, endpoint: ListedEndpoint, snapshot: EndpointList) -> bool:
        name = endpoint.name
        return self._endpoints.get(name) != endpoint or self._addresses.get(name) != snapshot.addresses.get(
            name
        )

    def _keep_draining(self, endpoint: ListedEndpoint) -> ListedEndpoint:
        """Guards against a stale list that ends an endpoint's drain; only another start of it may end that.

        The other start need not be later, as the wall clock that gives the start may have been stepped back.
        """
        known = self._endpoints.get(endpoint.name)
        if known is None or known.state is not EndpointState.DRAINING:
            return endpoint
        if endpoint.started_at != known.started_at or endpoint.state is not EndpointState.ACTIVE:
            return endpoint
        return replace(endpoint, state=EndpointState.DRAINING)
