"""The effects of each kind of fault, at its beginning and at its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from notchjunction.discovery.endpoints import EndpointState
from notchjunction.emulator.discovery import Discovery
from notchjunction.emulator.scenario import Fault, Kind
from notchjunction.emulator.servers import Server


class FaultTarget(Protocol):
    """What a fault acts on: the world in virtual time, or the testbed's stage on sockets."""

    discovery: Discovery
    cut: frozenset[int]  # the zones that are partitioned from all others

    def stop(self, server: Server) -> None:
        """Crash the server: its connections are reset and new ones refused."""

    def start(self, server: Server) -> None:
        """Start the server again, with a new start time."""


Effect = Callable[[FaultTarget, Fault, list[Server]], None]


class FaultEffects(NamedTuple):
    """The effects of a kind of fault at its beginning and at its end."""

    begins: Effect
    ends: Effect


def _set_attribute(name: str, normal: float) -> FaultEffects:
    """Return effects that set an attribute of the fault's servers to its size while it lasts."""

    def apply(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
        for server in servers:
            setattr(server, name, fault.size)

    def revert(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
        for server in servers:
            setattr(server, name, normal)

    return FaultEffects(apply, revert)


def _crash(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        target.stop(server)


def _restart(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        target.start(server)
        target.discovery.changed(fault.tier, server)


def _hang(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.hung = True


def _resume(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.hung = False
        server.start_queued()


def _drain(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.state = EndpointState.DRAINING
        target.discovery.changed(fault.tier, server)


def _remove(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    for server in servers:
        server.state = EndpointState.REMOVED
        target.stop(server)
        target.discovery.changed(fault.tier, server)


def _partition(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.cut = frozenset(fault.zones)


def _heal_partition(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.cut = frozenset()


def _stop_discovery(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.stop()


def _resume_discovery(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.resume()


def _delay_changes(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.extra_delay = fault.size


def _end_change_delay(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.extra_delay = 0.0


def _cut_off_nodes(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    # Spreads the choice evenly over the nodes by number; the same nodes stay cut off while the fault lasts.
    target.discovery.cut_off(lambda node: (node * 0.618) % 1.0 < fault.size)


def _reconnect_nodes(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.cut_off(lambda node: False)


def _drop_watches(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    target.discovery.drop_watches()


def _do_nothing(target: FaultTarget, fault: Fault, servers: list[Server]) -> None:
    """End a fault that only has an effect at its beginning."""


EFFECTS = {
    Kind.CRASH: FaultEffects(_crash, _restart),
    Kind.HANG: FaultEffects(_hang, _resume),
    Kind.SLOW: _set_attribute("slow", 1.0),
    Kind.ERRORS: _set_attribute("errors", 0.0),
    Kind.RESET: _set_attribute("resets", 0.0),
    Kind.LOSE: _set_attribute("losses", 0.0),
    Kind.LIE: _set_attribute("lies", 1.0),
    Kind.DRAIN: FaultEffects(_drain, _remove),
    Kind.CUT: FaultEffects(_partition, _heal_partition),
    Kind.LIST_DOWN: FaultEffects(_stop_discovery, _resume_discovery),
    Kind.LIST_LATE: FaultEffects(_delay_changes, _end_change_delay),
    Kind.LIST_SPLIT: FaultEffects(_cut_off_nodes, _reconnect_nodes),
    Kind.LIST_SILENT: FaultEffects(_drop_watches, _do_nothing),
}
