"""One tiny fake host: a clock, timers and a record of what the module asked for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from notchjunction.interface import (
    Effect,
    Group,
    Job,
    Load,
    News,
    Outcome,
    Presence,
    Profile,
    Result,
    ServerEntry,
    Terms,
)
from notchjunction.rules import Balancer

PLAIN = Profile(contract_time=1.0, abandon_time=2.0, revenue=1.0, late_share=0.5, effect=Effect.REISSUABLE)
TERMS = Terms(seed=7, profiles=[PLAIN], depth=0, depths=1, max_dispatches=5)


def profile(effect: Effect, group: Group = Group.ALL, late_share: float = 0.5) -> Profile:
    return replace(PLAIN, effect=effect, group=group, window=1.5, late_share=late_share)


class FakeHost:
    def __init__(self, servers: int = 4, **terms: Any) -> None:
        self.clock = 1000.0
        self.did: list[tuple[Any, ...]] = []
        self.timers: list[tuple[float, int]] = []
        self.jobs = 0
        self.core = Balancer(replace(TERMS, **terms), self)
        self.list_servers(*range(servers))

    def now(self) -> float:
        return self.clock

    def dispatch(self, job: int, server: int, within: float) -> None:
        self.did.append(("dispatch", job, server, within))

    def recall(self, job: int, dispatch: int) -> None:
        self.did.append(("recall", job, dispatch))

    def probe(self, server: int) -> None:
        self.did.append(("probe", server))

    def turn_back(self, job: int, come_back_in: float) -> None:
        self.did.append(("turn_back", job, come_back_in))

    def write_off(self, job: int) -> None:
        self.did.append(("write_off", job))

    def set_timer(self, delay: float, token: int) -> None:
        self.timers.append((self.clock + delay, token))

    def follow(self) -> None:
        self.did.append(("follow",))

    def remark(self, text: str) -> None:
        self.did.append(("remark", text))

    # What a story needs.

    def list_servers(self, *servers: int, presence: Presence = Presence.READY, **entry: Any) -> None:
        entries = [ServerEntry(server, presence, **entry) for server in servers]
        self.core.listed(News.CHANGES, entries)

    def take(self, time_left: float = 2.0, profile: int = 0, operator: int = 0, repeat: bool = False) -> int:
        self.jobs += 1
        self.core.take(Job(self.jobs, profile, operator, time_left, repeat))
        return self.jobs

    def end(
        self, job: int, result: Result = Result.HONOURED, dispatch: int = 0, seconds: float = 0.1
    ) -> None:
        over = result is Result.HONOURED
        server = self.sent(job)[dispatch]
        self.core.outcome(Outcome(job, dispatch, server, result, seconds, over))

    def serve(self, count: int, result: Result = Result.HONOURED, every: float = 0.05) -> None:
        """Traffic to learn from: jobs that end one by one."""
        for _ in range(count):
            job = self.take()
            self.advance(every)
            self.end(job, result)

    def advance(self, seconds: float) -> None:
        end = self.clock + seconds
        while due := min((timer for timer in self.timers if timer[0] <= end), default=None):
            self.timers.remove(due)
            self.clock = max(self.clock, due[0])
            self.core.timer(due[1])
        self.clock = end

    def answer(self, server: int, **figures: float) -> None:
        self.core.probed(server, Result.HONOURED, Load(**figures))

    def sent(self, job: int) -> list[int]:
        return [row[2] for row in self.did if row[0] == "dispatch" and row[1] == job]

    def count(self, name: str) -> int:
        return sum(1 for row in self.did if row[0] == name)

    def finals(self, job: int) -> list[str]:
        return [row[0] for row in self.did if row[0] in ("turn_back", "write_off") and row[1] == job]

    def until(self, done: Callable[[], bool], tries: int = 200) -> None:
        for _ in range(tries):
            if done():
                return
            self.serve(1)
        raise AssertionError("never came about")
