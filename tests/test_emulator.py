"""The emulated world: the rules hold through faults; each checker catches a module that breaks its rule."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from notchjunction.emulator.checkers import breaches
from notchjunction.emulator.scenario import Fault, Kind, Scenario, Stream
from notchjunction.emulator.trace import Answered, Final, Story, Told
from notchjunction.emulator.world import World
from notchjunction.interface import Host, News, Outcome, Presence, Result, Terms
from notchjunction.rules import Balancer

CALM = Scenario("calm", length=12.0)
FAULTS = {
    "calm": (),
    "crash": (Fault(Kind.CRASH, 3.0, 5.0, (0, 1, 2)),),
    "hang": (Fault(Kind.HANG, 3.0, 8.0, (0,)),),
    "slow": (Fault(Kind.SLOW, 3.0, 8.0, (0, 1), 6.0),),
    "release": tuple(Fault(Kind.DRAIN, 2.0 + n, 5.0 + n, (n,)) for n in range(4)),
    "list down": (Fault(Kind.LIST_DOWN, 1.0, 8.0), Fault(Kind.DRAIN, 3.0, 11.0, (0,))),
}


def share(story: Story, final: Final) -> float:
    finals = [row.final for row in story.rows if isinstance(row, Answered)]
    return finals.count(final) / len(finals)


@pytest.mark.parametrize("nodes", [1, 3, 40])
@pytest.mark.parametrize("name", FAULTS)
def test_the_rules_hold_through_faults_at_each_size(name: str, nodes: int) -> None:
    story = World(replace(CALM, name=name, nodes=nodes, faults=FAULTS[name])).play()
    assert breaches(story) == []
    assert share(story, Final.HONOURED) > 0.8


def test_the_same_seed_gives_the_same_rows_and_another_one_others() -> None:
    first, second, other = (World(replace(CALM, seed=seed)).play().rows for seed in (5, 5, 6))
    assert first == second != other


def test_a_fleet_that_is_asked_for_too_much_turns_back_and_breaks_no_rule() -> None:
    story = World(replace(CALM, streams=(Stream(0, 600.0), Stream(1, 100.0)))).play()
    assert breaches(story) == [] and share(story, Final.TURNED_BACK) > 0.2


class Mute(Balancer):
    """Turns jobs back without a word."""

    def __init__(self, terms: Terms, host: Host) -> None:
        super().__init__(terms, host)
        host.turn_back = lambda job, come_back_in: None  # type: ignore[method-assign]


class Twice(Balancer):
    """Sends again whatever was reset, and turns back what it gives up."""

    def outcome(self, outcome: Outcome) -> None:
        held = self._held.get(outcome.job)
        if held is not None and outcome.result is Result.RESET:
            other = next(server for server in self._ready if server.entry.server != outcome.server)
            self._host.dispatch(outcome.job, other.entry.server, 1.0)
        super().outcome(outcome)

    def _turn_back_is_harmless(self, held: object) -> bool:
        return True


class Deaf(Balancer):
    """Hears no news after the first list."""

    def listed(self, news: News, entries: object) -> None:
        if news is News.REMEMBERED:
            super().listed(news, entries)  # type: ignore[arg-type]


class Eager(Balancer):
    """Takes each server for warm."""

    def _is_cold(self, server: object, now: float) -> bool:
        return False


class Stubborn(Balancer):
    """Knows no budget for further dispatches."""

    def _budget_left(self) -> bool:
        return True


class Blind(Balancer):
    """Probes nothing."""

    def _probe(self) -> None:
        pass


class Repeating(Balancer):
    """Answers twice what it writes off."""

    def __init__(self, terms: Terms, host: Host) -> None:
        super().__init__(terms, host)
        once = host.turn_back

        def turn_back(job: int, come_back_in: float) -> None:
            once(job, come_back_in)
            host.write_off(job)

        host.turn_back = turn_back  # type: ignore[method-assign]


STEADY = (Stream(0, 150.0), Stream(1, 40.0))
COLD = replace(
    CALM, streams=STEADY, servers=6, cold_share=0.05, cold_time=10.0, list_delay=0.0, tip_multiple=2.0
)
BUSY = (Stream(0, 250.0), Stream(1, 60.0))


@pytest.mark.parametrize(
    ("broken", "checker", "scenario"),
    [
        (Mute, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (Repeating, "one_answer", replace(CALM, streams=(Stream(0, 500.0),), length=6.0)),
        (Twice, "no_double_effects", replace(CALM, faults=FAULTS["crash"], streams=BUSY)),
        (Deaf, "clean_drains", replace(CALM, faults=FAULTS["release"])),
        (
            Eager,
            "gentle_fail_back",
            replace(COLD, faults=FAULTS["crash"], length=9.0),
        ),
        (Stubborn, "retry_bound", replace(CALM, faults=(Fault(Kind.CRASH, 1.0, 12.0, tuple(range(8))),))),
        (Blind, "probe_bound", CALM),
    ],
)
def test_each_checker_catches_a_module_that_breaks_its_rule(
    broken: Callable[[Terms, Host], Balancer], checker: str, scenario: Scenario
) -> None:
    assert not [text for text in breaches(World(scenario).play()) if text.startswith(checker)]
    assert [text for text in breaches(World(scenario, broken).play()) if text.startswith(checker)]


def test_word_of_changes_reaches_every_node_through_discovery() -> None:
    scenario = replace(CALM, nodes=40, faults=(Fault(Kind.DRAIN, 6.0, 11.9, (0,)),), length=30.0)
    rows = World(scenario).play().rows
    heard = {row.node for row in rows if isinstance(row, Told) and row.presence is not Presence.READY}
    assert heard == set(range(40))
