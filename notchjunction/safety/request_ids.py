"""The ids of open requests: which ones a new request may not have.

A request is open from its acceptance until its client has the last byte of the response. If it ended in
another way, an endpoint may still run it, so its id stays taken for as long as the request was allowed to
take. While several processes of a node run, each also knows the ids that are taken at the others. Pure: no
I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass

# Upper bound (s) of the time that the id of an ended request stays taken, as clients state any deadline.
MAX_HOLD_S = 30.0


@dataclass(frozen=True, slots=True)
class TakenIds:
    """The ids that are taken at one process, for the next one; ids of other processes it knows included."""

    open: Mapping[str, float]  # with the time (s) that each request was allowed
    held: Mapping[str, float]  # of ended requests that may run, with the time (s) for which they stay taken


class RequestIds:
    """The ids that are taken at one node; all moments are seconds on the node's clock."""

    def __init__(self) -> None:
        self._open: dict[str, float] = {}  # the time (s) that each open request was allowed
        self._held_until: dict[str, float] = {}  # of ended requests that may have run
        self._open_elsewhere: dict[Hashable, dict[str, float]] = {}  # by the other process

    def __len__(self) -> int:
        elsewhere = sum(len(ids) for ids in self._open_elsewhere.values())
        return len(self._open) + len(self._held_until) + elsewhere

    def is_taken(self, request_id: str, now: float) -> bool:
        """Returns whether a new request may not have this id."""
        return (
            request_id in self._open
            or self._held_until.get(request_id, now) > now
            or self.is_open_elsewhere(request_id)
        )

    def is_open_here(self, request_id: str) -> bool:
        """Returns whether this process has an open request with this id."""
        return request_id in self._open

    def is_open_elsewhere(self, request_id: str) -> bool:
        """Returns whether another process has an open request with this id."""
        return any(request_id in ids for ids in self._open_elsewhere.values())

    def open(self, request_id: str, time_allowed: float) -> None:
        """Takes the id of a request that was accepted; `time_allowed` is its time left in s."""
        self._open[request_id] = time_allowed

    def adopt(self, request_id: str) -> float:
        """Takes the id of a request that has moved here from another process, which no longer frees it.

        Returns the time (s) that the request was allowed; the upper bound if that is unknown.
        """
        times = [ids.pop(request_id) for ids in self._open_elsewhere.values() if request_id in ids]
        self._open[request_id] = max(times, default=MAX_HOLD_S)
        return self._open[request_id]

    def close(self, request_id: str, now: float, may_run: bool) -> float:
        """Frees the id of a request that has ended, and returns for how long (s) it stays taken.

        Args:
            request_id: The id, which has to be open.
            now: The present moment.
            may_run: Whether an endpoint may run the request although no complete response was delivered. The
                id then stays taken for the time that the request was allowed.
        """
        time_allowed = self._open.pop(request_id, 0.0)
        return self._hold(request_id, now, time_allowed if may_run else 0.0)

    def opened_elsewhere(self, process: Hashable, request_id: str, time_allowed: float) -> None:
        """Takes an id for a request that another process has accepted."""
        self._open_elsewhere.setdefault(process, {})[request_id] = time_allowed

    def closed_elsewhere(self, process: Hashable, request_id: str, now: float, hold: float) -> None:
        """Frees the id of a request of another process; it stays taken for `hold` s."""
        self._open_elsewhere.get(process, {}).pop(request_id, None)
        self._hold(request_id, now, hold)

    def process_left(self, process: Hashable, now: float) -> Mapping[str, float]:
        """Frees the ids of a process that has ended; each stays taken for the time its request was allowed.

        Returns those times in s.
        """
        ids = self._open_elsewhere.pop(process, {})
        return {request_id: self._hold(request_id, now, ids[request_id]) for request_id in ids}

    def _hold(self, request_id: str, now: float, seconds: float) -> float:
        hold = min(max(0.0, seconds), MAX_HOLD_S)
        if hold > 0:
            self._held_until[request_id] = max(now + hold, self._held_until.get(request_id, now))
        return hold

    def taken(self, now: float) -> TakenIds:
        """Returns all ids that are taken now, for a process that joins."""
        is_open = {
            request_id: time for ids in self._open_elsewhere.values() for request_id, time in ids.items()
        }
        held = {request_id: until - now for request_id, until in self._held_until.items() if until > now}
        return TakenIds(is_open | self._open, held)

    def forget_expired(self, now: float) -> None:
        """Drops the ids whose time has passed; to be called regularly, as it bounds the memory used."""
        self._held_until = {
            request_id: until for request_id, until in self._held_until.items() if until > now
        }
