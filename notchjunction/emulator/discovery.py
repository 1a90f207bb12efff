"""Discovery as the emulator has it: a queue of calls, held watches, news that comes late."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from notchjunction.emulator.clock import Clock
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.servers import Server
from notchjunction.interface import ServerEntry

Heard = Callable[[Sequence[ServerEntry] | None, int], None]  # None: the call failed; the version


class Discovery:
    """Works through calls in turn, refuses what would wait too long, holds watches; a list for each tier."""

    def __init__(self, scenario: Scenario, clock: Clock, tiers: int) -> None:
        self._scenario, self._clock = scenario, clock
        self.up = True
        self.late = 0.0  # s that news comes later
        self.deaf: Callable[[int], bool] = lambda asker: False  # whose calls fail
        self._free_at = clock.now
        self._changes: list[list[ServerEntry]] = [[] for _ in range(tiers)]
        self._watching: list[tuple[int, int, int, Heard]] = []  # tier, asker, version

    @staticmethod
    def entry(server: Server) -> ServerEntry:
        return ServerEntry(server.number, server.presence, server.started_at, server.zone, server.zone)

    def version(self, tier: int) -> int:
        return len(self._changes[tier])

    def changed(self, tier: int, server: Server) -> None:
        entry = self.entry(server)
        self._clock.after(self._scenario.list_delay + self.late, partial(self._publish, tier, entry))

    def down(self) -> None:
        self.up = False
        watching, self._watching = self._watching, []
        for _, _, _, heard in watching:
            heard(None, 0)

    def call(self, tier: int, asker: int, version: int, heard: Heard) -> None:
        """A new watch, which costs work; refused where it would wait for too long."""
        now = self._clock.now
        begins = max(now, self._free_at)
        if not self.up or self.deaf(asker) or begins - now > self._scenario.list_wait:
            heard(None, 0)
            return
        self._free_at = begins + 1 / self._scenario.list_rate
        self._clock.after(self._free_at - now, partial(self.watch, tier, asker, version, heard))

    def watch(self, tier: int, asker: int, version: int, heard: Heard) -> None:
        """Answers at once where there is something newer, else once there is; a kept watch costs no work."""
        if not self.up or self.deaf(asker):
            heard(None, 0)
        elif version < self.version(tier):
            heard(self._changes[tier][version:], self.version(tier))
        else:
            self._watching.append((tier, asker, version, heard))

    def forget(self, asker: int) -> None:
        """It has gone, and its watches with it."""
        self._watching = [each for each in self._watching if each[1] != asker]

    def _publish(self, tier: int, entry: ServerEntry) -> None:
        self._changes[tier].append(entry)
        told = [each for each in self._watching if each[0] == tier]
        self._watching = [each for each in self._watching if each[0] != tier]
        for each in told:
            self.watch(*each)
