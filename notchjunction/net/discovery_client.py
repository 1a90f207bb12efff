"""Asks discovery for the list and follows it from the last version on."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from notchjunction import protocol
from notchjunction.addresses import Address, text_of
from notchjunction.discovery.endpoint_list import EndpointList, ListUnavailable, read_list
from notchjunction.discovery.watch_state import DRIP_MOST, SILENT_AFTER, ListWatch, PollAction, WatchEvent
from notchjunction.http1.messages import Answer, Malformed, Request
from notchjunction.http1.parser import AnswerReader
from notchjunction.net.upstream_connection import (
    ConnectionLost,
    RequestNotSent,
    UpstreamConnection,
    connection_to,
)
from notchjunction.telemetry.flight_recorder import FlightRecorder, Occurrence
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

LIST_MOST = 8 * 1024 * 1024  # bytes of a list; tens of thousands of servers, and far under the memory limit


class DiscoveryClient:
    def __init__(
        self,
        address: Address,
        following: ListWatch,
        clock: Callable[[], float],
        spare_one: Callable[[], bool] = lambda: False,
        recorder: FlightRecorder | None = None,
    ) -> None:
        self._address = address
        self._recorder = recorder or FlightRecorder(clock)
        self._spare_one = spare_one
        self.watch = following
        self._clock = clock
        self._connection: UpstreamConnection | None = None
        self.version: int | None = None
        self.version_before: int | None = None  # as the last news came
        self._moved = False  # since the last call began
        self._began = 0.0  # when the last call did
        self._wait = 0.0  # s that it may wait
        self.silences = 0  # calls that ended without a word

    def remember(self, version: int) -> None:
        self.version = version

    def change_address(self, address: Address) -> None:
        """Asks there from now on, from the last version on; the call that is out at the old place ends."""
        self._address = address
        self._moved = True
        self.close()

    async def next_update(self) -> EndpointList:
        """The next news; asks anew whenever a call stays silent, and is Unusable where one fails."""
        while True:
            if self._moved:
                # A call was ended by the move, or none was out (in a failed one's pause): no failure.
                self._moved = False
                self.watch.poll_ended(WatchEvent.ADDRESS_CHANGED, self._clock())
            try:
                found = await self._ask()
                event = WatchEvent.ANSWERED
            except ListUnavailable as error:
                event, failed = error.event, error
            self._note_end(event)
            if self._moved:
                # Guards against a late answer from the old place, which no longer speaks for the list; but
                # what it says of servers that close has been told.
                if event is WatchEvent.ANSWERED and found.closures().endpoints:
                    self.version_before = self.version
                    return found.closures()
                continue
            match self.watch.poll_ended(event, self._clock()):
                case PollAction.BACK_OFF:
                    raise failed
                case PollAction.RETRY_NOW:
                    self.silences += 1
                    log.warning("list poll timed out", extra=pairs(notified_in=round(self.notified_in(), 1)))
                    continue
            if self.version is not None and found.version < self.version and not found.is_snapshot:
                # Guards against a list that is counted anew: its changes would miss all that went before.
                self.version = self.version_before = None
                if found.closures().endpoints:
                    return found.closures()
                continue
            older = self.version is not None and found.version < self.version
            self.version_before, self.version = self.version, found.version
            return replace(found, is_stale=older)

    def _note_end(self, event: WatchEvent) -> None:
        self._recorder.note(
            Occurrence.LIST_CALL_ENDED,
            how=event.name.lower(),
            after=round(self._clock() - self._began, 3),
            waits=round(self._wait, 3),
            state=self.watch.state.name.lower(),
        )

    def notified_in(self) -> float:
        """s until what may have been missed counts as told; under 0 where it does already."""
        return self.watch.notified_by() - self._clock()

    async def _ask(self) -> EndpointList:
        target = protocol.LIST
        wait = self.watch.next_wait(known=self.version is not None)
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={int(wait * 1000)}"
        self._began, self._wait = self._clock(), wait
        loop = asyncio.get_running_loop()
        silent_at = loop.time() + self.watch.poll_started(self._clock(), wait)

        def heard() -> None:
            # Guards against giving up a long list that is on its way: only silence is, or one that drips.
            limit.reschedule(min(max(silent_at, loop.time() + SILENT_AFTER), silent_at + DRIP_MOST))

        try:
            async with asyncio.timeout_at(silent_at) as limit:
                answer = await self._call(target, heard)
            if answer.status != 200:
                raise ListUnavailable(f"status {answer.status}", self.watch.classify_rejection(self._clock()))
            return read_list(_parsed(answer.body))
        except TimeoutError as error:
            self.close()
            raise ListUnavailable("silent", WatchEvent.TIMED_OUT) from error
        except (RequestNotSent, ConnectionLost, Malformed) as error:
            self.close()
            # A place with too many callers may also end a call by its connection.
            event = (
                self.watch.classify_rejection(self._clock())
                if isinstance(error, ConnectionLost)
                else WatchEvent.CONNECTION_LOST
            )
            event = WatchEvent.CONNECTION_LOST if event is WatchEvent.REJECTED else event
            raise ListUnavailable(str(error) or type(error).__name__, event) from error
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _call(self, target: str, heard: Callable[[], None]) -> Answer:
        connection = self._connection
        if connection is None or not connection.fit():
            self.close()
            connection = self._connection = connection_to(self._address, self._spare_one)
            await connection.open()
        request = Request("GET", target, {"host": text_of(self._address)})
        answer = await connection.exchange(request, AnswerReader(LIST_MOST, LIST_MOST), heard=heard)
        if answer.keep:
            connection.rest(0.0)
        else:
            self.close()
        return answer


def _parsed(body: bytes) -> Any:
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise ListUnavailable("no JSON") from error
