"""Keeps the ids of open requests in step between the processes of one node.

Each process tells the others which ids it takes and frees. Before it accepts a request that is not idempotent
it waits for their consent, as two requests with one id may arrive at two processes at once. Of two processes
that ask at once, the one that served first wins.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from notchjunction.safety.request_ids import RequestIds
from notchjunction.upgrade.channel import Channel, Reply
from notchjunction.upgrade.messages import (
    Acknowledgement,
    Denial,
    PeerMessage,
    RequestClosed,
    RequestOpened,
    TakenIdsMessage,
)

# For another process's consent. It is longer than a process may be held up; one that has stopped entirely
# took its ids before that, so they are known here.
CONSENT_TIMEOUT_S = 0.2


class RequestClaims:
    """This process's part in the exchange; `channels` lists the connections to the other processes."""

    def __init__(
        self, ids: RequestIds, clock: Callable[[], float], channels: Callable[[], Sequence[Channel]]
    ) -> None:
        self._ids = ids
        self._clock = clock
        self._channels = channels
        self._unconfirmed: set[str] = set()  # ids that this process has asked for

    async def claim(self, request_id: str, time_allowed: float, needs_consent: bool) -> bool:
        """Tells all other processes that a request is open here; returns False if one of them denies the id.

        Args:
            request_id: The id, which this process has taken already.
            time_allowed: The time left of the request in s.
            needs_consent: Whether to wait for the others' consent.
        """
        channels = self._channels()
        if not needs_consent:
            self.adopted(request_id, time_allowed)
            return True
        self._unconfirmed.add(request_id)
        try:
            replies = await asyncio.gather(
                *(
                    channel.ask(
                        lambda number: RequestOpened(number, request_id, time_allowed), CONSENT_TIMEOUT_S
                    )
                    for channel in channels
                )
            )
        finally:
            self._unconfirmed.discard(request_id)
        return Reply.DENIED not in replies and not self._ids.is_open_elsewhere(request_id)

    def adopted(self, request_id: str, time_allowed: float) -> None:
        """Tells all other processes that a request is open here, without waiting for their consent."""
        for channel in self._channels():
            channel.send(RequestOpened(0, request_id, time_allowed))

    def closed(self, request_id: str, hold: float) -> None:
        """Tells all other processes that a request has ended here; its id stays taken for `hold` s."""
        for channel in self._channels():
            channel.send(RequestClosed(request_id, hold))

    def send_taken(self, channel: Channel) -> None:
        """Tells a process that joins which ids are taken."""
        taken = self._ids.taken(self._clock())
        if taken.open or taken.held:
            channel.send(TakenIdsMessage(taken))

    def receive(self, channel: Channel, message: PeerMessage) -> None:
        """Applies what another process has told of its ids."""
        match message:
            case RequestOpened():
                self._receive_opened(channel, message)
            case RequestClosed(request_id, hold):
                self._ids.closed_elsewhere(channel, request_id, self._clock(), hold)
                self._relay(channel, message)
            case TakenIdsMessage(taken):
                for request_id, time_allowed in taken.open.items():
                    self._ids.opened_elsewhere(channel, request_id, time_allowed)
                for request_id, hold in taken.held.items():
                    self._ids.closed_elsewhere(channel, request_id, self._clock(), hold)

    def _receive_opened(self, channel: Channel, message: RequestOpened) -> None:
        """Consents to a request that another process has accepted, or denies its id."""
        request_id = message.request_id
        yields = request_id in self._unconfirmed and channel.is_to_predecessor
        if self._ids.is_taken(request_id, self._clock()) and not yields:
            channel.send(Denial(message.number))
            return
        self._ids.opened_elsewhere(channel, request_id, message.time_allowed)
        channel.send(Acknowledgement(message.number))
        self._relay(channel, RequestOpened(0, request_id, message.time_allowed))

    def process_left(self, channel: Channel) -> None:
        """Keeps the ids of a process that has ended taken while its requests may run."""
        for request_id, hold in self._ids.process_left(channel, self._clock()).items():
            self._relay(channel, RequestClosed(request_id, hold))

    def _relay(self, source: Channel, message: RequestOpened | RequestClosed) -> None:
        """Passes a message on to the other processes: each knows only the one it joined and later ones."""
        # Guards against freeing a request that has moved here from a process that has ended.
        is_still_open = isinstance(message, RequestClosed) and self._ids.is_open_here(message.request_id)
        for channel in self._channels():
            if channel is not source and not is_still_open:
                channel.send(message)
