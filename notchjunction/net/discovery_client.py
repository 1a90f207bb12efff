"""The discovery client: polls the endpoint list, and watches it from the last version received."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from notchjunction import protocol
from notchjunction.addresses import Address, text_of
from notchjunction.discovery.endpoint_list import EndpointList, ListUnavailableError, read_list
from notchjunction.discovery.watch_state import (
    MAX_TRANSFER_S,
    RESPONSE_GRACE_S,
    ListWatch,
    PollAction,
    WatchEvent,
)
from notchjunction.http1.messages import MalformedMessageError, Request, Response
from notchjunction.http1.parser import ResponseReader
from notchjunction.net.upstream_connection import (
    ConnectionLostError,
    ExchangeHooks,
    RequestNotSentError,
    UpstreamConnection,
    create_connection,
)
from notchjunction.telemetry.flight_recorder import FlightRecorder, Occurrence
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

# Limit of a response: tens of thousands of endpoints, and far below the node's memory limit.
MAX_LIST_BYTES = 8 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class _Poll:
    """A poll: when it started (s on the node's clock), and how long discovery may delay its response (s)."""

    started_at: float
    wait: float


class DiscoveryClient:
    """Polls discovery for the endpoint list, one poll at a time, over one persistent connection.

    Attributes:
        version: The last version received; None before the first.
        previous_version: The version before that.
        timeouts: The number of polls that timed out.
        watch: The state machine that decides when to poll.
    """

    def __init__(
        self,
        address: Address,
        watch: ListWatch,
        clock: Callable[[], float],
        free_descriptor: Callable[[], bool] = lambda: False,
        recorder: FlightRecorder | None = None,
    ) -> None:
        """Prepares the client without polling yet.

        Args:
            address: The address of discovery.
            watch: The state machine that decides when to poll and how to react to the result.
            clock: The node's clock (s).
            free_descriptor: Called if no descriptor is left; closes a connection, and returns whether it did.
            recorder: Records the polls that ended; by default a new one.
        """
        self._address = address
        self._recorder = recorder or FlightRecorder(clock)
        self._free_descriptor = free_descriptor
        self.watch = watch
        self._clock = clock
        self._connection: UpstreamConnection | None = None
        self.version: int | None = None
        self.previous_version: int | None = None
        self._address_changed = False  # since the last poll started
        self._last_poll = _Poll(started_at=0.0, wait=0.0)
        self.timeouts = 0

    def resume_from(self, version: int) -> None:
        """Watches for changes after a version that this node already has."""
        self.version = version

    def change_address(self, address: Address) -> None:
        """Polls another address from now on, after the last version; ends a poll of the old address."""
        self._address = address
        self._address_changed = True
        self.close()

    async def next_update(self) -> EndpointList:
        """Returns the next update. Polls again at once after a timeout.

        Raises:
            ListUnavailableError: A poll failed and should be retried only after a backoff.
        """
        while True:
            if self._address_changed:
                # The change ended a poll, or none was open (during a backoff). Neither is a failure.
                self._address_changed = False
                self.watch.poll_ended(WatchEvent.ADDRESS_CHANGED, self._clock())
            try:
                received = await self._poll()
            except ListUnavailableError as error:
                self._record_poll(error.event)
                if self._address_changed:
                    continue
                if self._poll_failed(error.event) is PollAction.BACK_OFF:
                    raise
                continue
            self._record_poll(WatchEvent.ANSWERED)
            update = self._usable_update(received)
            if update is not None:
                return update

    def _poll_failed(self, event: WatchEvent) -> PollAction:
        action = self.watch.poll_ended(event, self._clock())
        if action is PollAction.RETRY_NOW:
            self.timeouts += 1
            log.warning("list poll timed out", extra=pairs(notified_in=round(self.notified_in(), 1)))
        return action

    def _usable_update(self, received: EndpointList) -> EndpointList | None:
        """Returns the valid part of a response, None if there is none. Stores the version."""
        if self._address_changed:
            # Guards against a late response from the old address, whose list is no longer valid. Its drains
            # and removals still hold, because they have been announced.
            update = received.drains_and_removals()
            if not update.endpoints:
                return None
            self.previous_version = self.version
            return update
        self.watch.poll_ended(WatchEvent.ANSWERED, self._clock())
        is_older = self.version is not None and received.version < self.version
        if is_older and not received.is_snapshot:
            # Guards against a list whose version numbers restarted: its changes lack everything before them.
            self.version = self.previous_version = None
            update = received.drains_and_removals()
            return update if update.endpoints else None
        self.previous_version, self.version = self.version, received.version
        return replace(received, is_stale=is_older)

    def _record_poll(self, event: WatchEvent) -> None:
        self._recorder.note(
            Occurrence.LIST_POLL_ENDED,
            how=event.name.lower(),
            after=round(self._clock() - self._last_poll.started_at, 3),
            waits=round(self._last_poll.wait, 3),
            state=self.watch.state.name.lower(),
        )

    def notified_in(self) -> float:
        """Returns the time (s) until changes that may have been missed count; negative if they already do."""
        return self.watch.notified_by() - self._clock()

    async def _poll(self) -> EndpointList:
        """Polls once.

        Raises:
            ListUnavailableError: The poll failed. Its `event` says how, and the connection is closed.
        """
        target = protocol.LIST_PATH
        wait = self.watch.next_wait(has_version=self.version is not None)
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={int(wait * 1000)}"
        self._last_poll = _Poll(self._clock(), wait)
        loop = asyncio.get_running_loop()
        times_out_at = loop.time() + self.watch.poll_started(self._clock(), wait)

        def bytes_received() -> None:
            # Guards against a timeout while a long list is arriving: only a stalled response times out, or
            # one that arrives too slowly.
            limit.reschedule(
                min(max(times_out_at, loop.time() + RESPONSE_GRACE_S), times_out_at + MAX_TRANSFER_S)
            )

        try:
            async with asyncio.timeout_at(times_out_at) as limit:
                response = await self._fetch(target, bytes_received)
            if response.status != 200:
                event = self.watch.classify_rejection(self._clock())
                raise ListUnavailableError(f"status {response.status}", event)
            return read_list(_decode(response.body))
        except TimeoutError as error:
            self.close()
            raise ListUnavailableError("no response in time", WatchEvent.TIMED_OUT) from error
        except (RequestNotSentError, ConnectionLostError, MalformedMessageError) as error:
            self.close()
            raise ListUnavailableError(
                str(error) or type(error).__name__, self._classify_failure(error)
            ) from error
        except BaseException:
            self.close()
            raise

    def _classify_failure(self, error: Exception) -> WatchEvent:
        """Classifies a failed connection, which may also be how an overloaded discovery rejects a poll."""
        is_lost = isinstance(error, ConnectionLostError)
        if is_lost and self.watch.classify_rejection(self._clock()) is WatchEvent.RATE_LIMITED:
            return WatchEvent.RATE_LIMITED
        return WatchEvent.CONNECTION_LOST

    def close(self) -> None:
        """Closes the connection; an open poll fails."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _fetch(self, target: str, bytes_received: Callable[[], None]) -> Response:
        connection = self._connection
        if connection is None or not connection.is_reusable():
            self.close()
            connection = self._connection = create_connection(self._address, self._free_descriptor)
            await connection.open()
        request = Request("GET", target, {"host": text_of(self._address)})
        response = await connection.exchange(
            request,
            ResponseReader(MAX_LIST_BYTES, MAX_LIST_BYTES),
            hooks=ExchangeHooks(on_received=bytes_received),
        )
        if response.keep_alive:
            connection.mark_idle(0.0)
        else:
            self.close()
        return response


def _decode(body: bytes) -> Any:
    """Returns the body's JSON value.

    Raises:
        ListUnavailableError: The body is not JSON.
    """
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ListUnavailableError("the response is not JSON") from error
