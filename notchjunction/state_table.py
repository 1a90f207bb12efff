"""State machines as tables: one row a transition, looked up by state and event. Pure."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State", bound=Hashable)
Event = TypeVar("Event", bound=Hashable)
Action = TypeVar("Action")


@dataclass(frozen=True, slots=True)
class Transition(Generic[State, Event, Action]):
    """What one event does in one state: the state that follows, and what is done."""

    state: State
    event: Event
    next_state: State
    action: Action


class StateTable(Generic[State, Event, Action]):
    """A state machine's transitions, at most one for a state and an event; ValueError for a second one."""

    def __init__(self, rows: Iterable[Transition[State, Event, Action]]) -> None:
        transitions: dict[tuple[State, Event], Transition[State, Event, Action]] = {}
        for row in rows:
            if (row.state, row.event) in transitions:
                raise ValueError(f"two transitions for {row.state} and {row.event}")
            transitions[row.state, row.event] = row
        self._transitions: Mapping[tuple[State, Event], Transition[State, Event, Action]] = transitions

    def __iter__(self) -> Iterator[Transition[State, Event, Action]]:
        """All transitions, in the order of the table."""
        return iter(self._transitions.values())

    def find(self, state: State, event: Event) -> Transition[State, Event, Action] | None:
        """The transition for an event in a state; None where nothing follows from it."""
        return self._transitions.get((state, event))

    def __getitem__(self, key: tuple[State, Event]) -> Transition[State, Event, Action]:
        """The transition for a state and an event; KeyError where there is none."""
        return self._transitions[key]
