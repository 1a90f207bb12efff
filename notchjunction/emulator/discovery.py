"""The model of the discovery service: queued polls, watches, and changes published after a delay."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial
from math import inf

from notchjunction.balancing.interface import EndpointEntry
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.servers import Server
from notchjunction.emulator.trace import DiscoveryReachable, EndpointPublished, TraceRow

OnResponse = Callable[[Sequence[EndpointEntry] | None, int], None]  # changes (None: failed) and the version


@dataclass(frozen=True, slots=True, eq=False)
class Watch:
    """A poll of a node that waits for a change later than `version`."""

    tier: int
    node: int
    version: int
    on_response: OnResponse
    expires_at: float  # when it is answered without a change


class Discovery:
    """A discovery service with one endpoint list for each tier.

    It serves new polls one after another, and rejects those that would be queued for too long.
    `on_row` receives a row for each published change, and for each change of whether a node can reach it.
    """

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        tiers: int,
        on_row: Callable[[TraceRow], None] = lambda row: None,
    ) -> None:
        self._scenario, self._clock, self._on_row = scenario, clock, on_row
        self._up = True
        self.extra_delay = 0.0  # s by which a fault delays changes further
        self._is_cut_off: Callable[[int], bool] = lambda node: False  # whether a node's polls fail
        self._reachability: dict[int, DiscoveryReachable] = {}  # by node, its last row
        self._free_at = clock.now
        self._changes: list[list[EndpointEntry]] = [[] for _ in range(tiers)]
        self._watches: list[Watch] = []

    @staticmethod
    def entry(server: Server) -> EndpointEntry:
        """Return a server's present entry in the list."""
        return EndpointEntry(server.number, server.state, server.started_at, server.zone, server.zone)

    def version(self, tier: int) -> int:
        """Return the version of a tier's list: the number of changes."""
        return len(self._changes[tier])

    def changed(self, tier: int, server: Server) -> None:
        """Publish a server's present entry, after the delay."""
        entry = self.entry(server)
        self._clock.after(self._scenario.list_delay + self.extra_delay, partial(self._publish, tier, entry))

    def stop(self) -> None:
        """Fail all open watches, and all polls until `resume`."""
        self._up = False
        self._update_reachability()
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.on_response(None, 0)

    def resume(self) -> None:
        """Serve polls again."""
        self._up = True
        self._update_reachability()

    def cut_off(self, is_cut_off: Callable[[int], bool]) -> None:
        """Set which nodes' polls fail from now on."""
        self._is_cut_off = is_cut_off
        self._update_reachability()

    def drop_watches(self) -> None:
        """Leave all open watches unanswered for ever; later polls are served."""
        self._watches = []

    def poll(self, tier: int, node: int, version: int, on_response: OnResponse, wait: float = inf) -> None:
        """Start a new watch, which costs work; reject it if it would be queued for too long.

        Without a later change it is answered `wait` seconds from now, but not before it has been served.
        """
        now = self._clock.now
        begins = max(now, self._free_at)
        if not self._is_reachable(node) or begins - now > self._scenario.list_wait:
            on_response(None, 0)
            return
        self._free_at = begins + 1 / self._scenario.list_rate
        watch = Watch(tier, node, version, on_response, now + wait)
        self._clock.after(self._free_at - now, partial(self._serve, watch))

    def watch(self, tier: int, node: int, version: int, on_response: OnResponse, wait: float = inf) -> None:
        """Continue a watch, which costs no work; a change later than `version` is the response.

        Without a later change it is answered after `wait` seconds.
        """
        self._serve(Watch(tier, node, version, on_response, self._clock.now + wait))

    def join(self, tier: int, node: int) -> None:
        """Record whether a node can reach discovery; for a new node, this is its first row."""
        self._reachability[node] = DiscoveryReachable(self._clock.now, node, tier, self._is_reachable(node))
        self._on_row(self._reachability[node])

    def forget(self, node: int) -> None:
        """Remove a node that has stopped, and its watches."""
        self._reachability.pop(node, None)
        self._watches = [watch for watch in self._watches if watch.node != node]

    def _serve(self, watch: Watch) -> None:
        """Answer a watch at once if there is a later change, otherwise keep it open."""
        version = self.version(watch.tier)
        if not self._is_reachable(watch.node):
            watch.on_response(None, 0)
        elif watch.version < version:
            watch.on_response(self._changes[watch.tier][watch.version :], version)
        else:
            self._watches.append(watch)
            if watch.expires_at < inf:
                self._clock.after(watch.expires_at - self._clock.now, partial(self._expire, watch))

    def _expire(self, watch: Watch) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            watch.on_response((), watch.version)

    def _is_reachable(self, node: int) -> bool:
        return self._up and not self._is_cut_off(node)

    def _update_reachability(self) -> None:
        for row in list(self._reachability.values()):
            if self._is_reachable(row.node) is not row.reachable:
                self.join(row.tier, row.node)

    def _publish(self, tier: int, entry: EndpointEntry) -> None:
        self._changes[tier].append(entry)
        self._on_row(EndpointPublished(self._clock.now, tier, entry.number, entry.state))
        answered = [watch for watch in self._watches if watch.tier == tier]
        self._watches = [watch for watch in self._watches if watch.tier != tier]
        for watch in answered:
            self._serve(watch)
