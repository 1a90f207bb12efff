"""The ids of open requests: which ones a new request may not have.

A request is open from its acceptance until its client has the last byte of the response. If it ended in
another way, an endpoint may still run it, so its id stays taken for as long as the request was allowed to
take. Pure: no I/O and no clock.
"""

from __future__ import annotations

# Upper bound (s) of the time that the id of an ended request stays taken, as clients state any deadline.
MAX_HOLD_S = 30.0


class RequestIds:
    """The ids that are taken at one node; all moments are seconds on the node's clock."""

    def __init__(self) -> None:
        self._open: dict[str, float] = {}  # the time (s) that each open request was allowed
        self._held_until: dict[str, float] = {}  # of ended requests that may have run

    def __len__(self) -> int:
        return len(self._open) + len(self._held_until)

    def is_taken(self, request_id: str, now: float) -> bool:
        """Returns whether a new request may not have this id."""
        return request_id in self._open or self._held_until.get(request_id, now) > now

    def open(self, request_id: str, time_allowed: float) -> None:
        """Takes the id of a request that was accepted; `time_allowed` is its time left in s."""
        self._open[request_id] = time_allowed

    def close(self, request_id: str, now: float, may_run: bool) -> None:
        """Frees the id of a request that has ended.

        Args:
            request_id: The id, which has to be open.
            now: The present moment.
            may_run: Whether an endpoint may run the request although no complete response was delivered. The
                id then stays taken for the time that the request was allowed.
        """
        hold = min(self._open.pop(request_id), MAX_HOLD_S)
        if may_run and hold > 0:
            self._held_until[request_id] = now + hold

    def forget_expired(self, now: float) -> None:
        """Drops the ids whose time has passed; to be called regularly, as it bounds the memory used."""
        self._held_until = {
            request_id: until for request_id, until in self._held_until.items() if until > now
        }
