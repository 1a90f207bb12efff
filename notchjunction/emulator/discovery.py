"""Discovery as the emulator has it: a queue of calls, held watches, news that comes late."""

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

Heard = Callable[[Sequence[EndpointEntry] | None, int], None]  # None: the call failed; the version


@dataclass(frozen=True, slots=True, eq=False)
class Watch:
    tier: int
    asker: int
    version: int
    heard: Heard
    until: float  # when it is answered though there is nothing newer


class Discovery:
    """Works through calls in turn, refuses what would wait too long, holds watches; a list for each tier.

    `note` is given a row of each change that it has, and of who can reach it from when.
    """

    def __init__(
        self,
        scenario: Scenario,
        clock: Clock,
        tiers: int,
        note: Callable[[TraceRow], None] = lambda row: None,
    ) -> None:
        self._scenario, self._clock, self._note = scenario, clock, note
        self._up = True
        self.late = 0.0  # s that news comes later
        self._deaf: Callable[[int], bool] = lambda asker: False  # whose calls fail
        self._reached: dict[int, DiscoveryReachable] = {}  # by asker, the last row of it
        self._free_at = clock.now
        self._changes: list[list[EndpointEntry]] = [[] for _ in range(tiers)]
        self._watching: list[Watch] = []

    @staticmethod
    def entry(server: Server) -> EndpointEntry:
        return EndpointEntry(server.number, server.presence, server.started_at, server.zone, server.zone)

    def version(self, tier: int) -> int:
        return len(self._changes[tier])

    def changed(self, tier: int, server: Server) -> None:
        entry = self.entry(server)
        self._clock.after(self._scenario.list_delay + self.late, partial(self._publish, tier, entry))

    def down(self) -> None:
        self._up = False
        self._note_reached()
        watching, self._watching = self._watching, []
        for each in watching:
            each.heard(None, 0)

    def back(self) -> None:
        self._up = True
        self._note_reached()

    def split(self, deaf: Callable[[int], bool]) -> None:
        """Whose calls fail from now on."""
        self._deaf = deaf
        self._note_reached()

    def fall_silent(self) -> None:
        """The watches that are open are never answered; calls that come later are."""
        self._watching = []

    def call(self, tier: int, asker: int, version: int, heard: Heard, wait: float = inf) -> None:
        """A new watch, which costs work; refused where it would wait for too long.

        Where there is nothing newer it is answered after `wait` seconds, worked through in any case.
        """
        now = self._clock.now
        begins = max(now, self._free_at)
        if not self._reachable(asker) or begins - now > self._scenario.list_wait:
            heard(None, 0)
            return
        self._free_at = begins + 1 / self._scenario.list_rate
        watch = Watch(tier, asker, version, heard, now + wait)
        self._clock.after(self._free_at - now, partial(self._hold, watch))

    def watch(self, tier: int, asker: int, version: int, heard: Heard, wait: float = inf) -> None:
        """Answers at once where there is something newer, else once there is; a kept watch costs no work.

        Where there is nothing newer it is answered after `wait` seconds.
        """
        self._hold(Watch(tier, asker, version, heard, self._clock.now + wait))

    def join(self, tier: int, asker: int) -> None:
        """It is there from now on, with the list as it is."""
        self._reached[asker] = DiscoveryReachable(self._clock.now, asker, tier, self._reachable(asker))
        self._note(self._reached[asker])

    def forget(self, asker: int) -> None:
        """It has gone, and its watches with it."""
        self._reached.pop(asker, None)
        self._watching = [each for each in self._watching if each.asker != asker]

    def _hold(self, watch: Watch) -> None:
        version = self.version(watch.tier)
        if not self._reachable(watch.asker):
            watch.heard(None, 0)
        elif watch.version < version:
            watch.heard(self._changes[watch.tier][watch.version :], version)
        else:
            self._watching.append(watch)
            if watch.until < inf:
                self._clock.after(watch.until - self._clock.now, partial(self._wait_over, watch))

    def _wait_over(self, watch: Watch) -> None:
        if watch in self._watching:
            self._watching.remove(watch)
            watch.heard((), watch.version)

    def _reachable(self, asker: int) -> bool:
        return self._up and not self._deaf(asker)

    def _note_reached(self) -> None:
        for row in list(self._reached.values()):
            if self._reachable(row.node) is not row.reachable:
                self.join(row.tier, row.node)

    def _publish(self, tier: int, entry: EndpointEntry) -> None:
        self._changes[tier].append(entry)
        self._note(EndpointPublished(self._clock.now, tier, entry.number, entry.state))
        told = [each for each in self._watching if each.tier == tier]
        self._watching = [each for each in self._watching if each.tier != tier]
        for each in told:
            self._hold(each)
