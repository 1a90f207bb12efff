"""State machines as tables of transitions, looked up by state and event. Pure: no I/O and no clock."""

from __future__ import annotations

from collections.abc import Hashable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State", bound=Hashable)
Event = TypeVar("Event", bound=Hashable)
Action = TypeVar("Action")


@dataclass(frozen=True, slots=True)
class Transition(Generic[State, Event, Action]):
    """A row of the table: the next state and the action for one event in one state."""

    state: State
    event: Event
    next_state: State
    action: Action


class StateTable(Generic[State, Event, Action]):
    """A state machine's transitions, at most one for each state and event."""

    def __init__(self, rows: Iterable[Transition[State, Event, Action]]) -> None:
        """Stores the transitions in order; raises ValueError if two have the same state and event."""
        transitions: dict[tuple[State, Event], Transition[State, Event, Action]] = {}
        for row in rows:
            if (row.state, row.event) in transitions:
                raise ValueError(f"two transitions for {row.state} and {row.event}")
            transitions[row.state, row.event] = row
        self._transitions: Mapping[tuple[State, Event], Transition[State, Event, Action]] = transitions

    def __iter__(self) -> Iterator[Transition[State, Event, Action]]:
        """Iterates over all transitions, in the order of the table."""
        return iter(self._transitions.values())

    def find(self, state: State, event: Event) -> Transition[State, Event, Action] | None:
        """Returns the transition for an event in a state; None if there is none."""
        return self._transitions.get((state, event))

    def __getitem__(self, key: tuple[State, Event]) -> Transition[State, Event, Action]:
        """Returns the transition for a state and an event; raises KeyError if there is none."""
        return self._transitions[key]
