"""What each fault does to the world as it begins and as it ends: a table."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.scenario import Fault, Kind
from notchjunction.emulator.servers import Server


class Place(Protocol):
    """Where faults happen: the world in virtual time, or a stage on sockets."""

    discovery: Discovery
    cut: frozenset[int]

    def stop(self, server: Server) -> None: ...

    def start(self, server: Server) -> None: ...


Do = Callable[[Place, Fault, list[Server]], None]


class Row(NamedTuple):
    begins: Do
    ends: Do


def _set(name: str, calm: object) -> Row:
    """A figure of the fault's servers that is its size while it lasts."""

    def put(place: Place, fault: Fault, servers: list[Server]) -> None:
        for server in servers:
            setattr(server, name, fault.size)

    def take_back(place: Place, fault: Fault, servers: list[Server]) -> None:
        for server in servers:
            setattr(server, name, calm)

    return Row(put, take_back)


def _crash(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        place.stop(server)


def _restart(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        place.start(server)
        place.discovery.changed(fault.tier, server)


def _hang(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.hung = True


def _wake(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.hung = False
        server._work_on()


def _drain(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.presence = EndpointState.DRAINING
        place.discovery.changed(fault.tier, server)


def _remove(place: Place, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.presence = EndpointState.REMOVED
        place.stop(server)
        place.discovery.changed(fault.tier, server)


def _cut(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.cut = frozenset(fault.zones)


def _mend(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.cut = frozenset()


def _list_down(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.down()


def _list_up(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.back()


def _list_late(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.late = fault.size


def _list_timely(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.late = 0.0


def _split(place: Place, fault: Fault, servers: list[Server]) -> None:
    # By number, evenly over the nodes: the same ones for as long as it lasts.
    place.discovery.split(lambda asker: (asker * 0.618) % 1.0 < fault.size)


def _unite(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.split(lambda asker: False)


def _list_silent(place: Place, fault: Fault, servers: list[Server]) -> None:
    place.discovery.fall_silent()


def _nothing(place: Place, fault: Fault, servers: list[Server]) -> None:
    """What began at one moment has no end."""


TABLE = {
    Kind.CRASH: Row(_crash, _restart),
    Kind.HANG: Row(_hang, _wake),
    Kind.SLOW: _set("slow", 1.0),
    Kind.ERRORS: _set("errors", 0.0),
    Kind.RESET: _set("resets", 0.0),
    Kind.LOSE: _set("losses", 0.0),
    Kind.LIE: _set("lies", 1.0),
    Kind.DRAIN: Row(_drain, _remove),
    Kind.CUT: Row(_cut, _mend),
    Kind.LIST_DOWN: Row(_list_down, _list_up),
    Kind.LIST_LATE: Row(_list_late, _list_timely),
    Kind.LIST_SPLIT: Row(_split, _unite),
    Kind.LIST_SILENT: Row(_list_silent, _nothing),
}
