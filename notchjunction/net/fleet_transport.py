"""The fleet's datagram socket, and the admission of requests under the fleet's quotas.

`fleet/` decides what is sent and which requests may be sent to endpoints. This module has the socket, the
clock, and the requests that wait for a permit. It is used only if the configuration has a section `fleet`.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, cast

from notchjunction.addresses import Address, address_of, text_of
from notchjunction.balancing.engine import RequestSpec
from notchjunction.errors import FleetError
from notchjunction.fleet.agent import Datagram, FleetAgent, read_section
from notchjunction.fleet.quotas.borrower import REQUEST_TIMEOUT_S
from notchjunction.fleet.quotas.state import Permit
from notchjunction.http1.messages import Response
from notchjunction.net.request_handler import rejection
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.logs import pairs

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.025  # short against the time that a request waits for a permit
BIND_RETRY_INTERVAL_S = 0.25  # an earlier process of this node may still have the address bound
# A permit lasts this much longer than the request's time left: opening a connection may take so long.
WRITE_SLACK_S = 0.4
ARRIVAL_SLACK_S = 0.25  # until the endpoint has read what was written, with losses and retransmissions
PERMIT_SLACK_S = WRITE_SLACK_S + ARRIVAL_SLACK_S
WAIT_SHARE = 0.25  # share of its time left that a request waits for a permit at most
FAULT_LOG_INTERVAL_S = 10.0  # between log lines of one kind; rejected datagrams may come in floods


def fault_kind(error: FleetError) -> str:
    """Returns an error's name in log lines and counters: that of its type, without "Error"."""
    return type(error).__name__.removesuffix("Error")


class LongerJobs(FleetError):
    """A request class may take longer than the leases allow for."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for a permit under each of its quotas; moments are in s on the fleet's clock."""

    quotas: tuple[str, ...]
    until: float  # the permits must last until then
    deadline: float  # it waits no longer
    result: asyncio.Future[list[Permit] | None]


class RequestPermits:
    """One request's permits: a set, with one permit under each quota, for each attempt in flight.

    The first set was acquired as the request was admitted.
    """

    def __init__(self, transport: FleetTransport, quotas: tuple[str, ...], first: list[Permit]) -> None:
        self._transport = transport
        self._quotas = quotas
        self._unused: list[list[Permit]] = [first]
        self._in_flight: dict[int, tuple[list[Permit], float]] = {}
        self._closed = False

    def acquire(self, attempt: int, timeout: float) -> bool:
        """Returns whether an attempt with this timeout (s) may be written now, and tracks it if so."""
        until = self._transport.attempt_end(timeout)
        permits = self._unused.pop() if self._unused else self._transport.acquire(self._quotas, until)
        if permits is None or not self._transport.extend(permits, until):
            self._transport.counters.add("fleet_quota_exhausted")
            self._transport.release(permits or [])
            return False
        self._in_flight[attempt] = permits, until
        return True

    def attempt_ended(self, attempt: int, answered: bool) -> None:
        """Reuses or releases the permits of an attempt that ended.

        Without an answer the endpoint may go on until the timeout, so the permits stay in use until then.
        """
        permits, until = self._in_flight.pop(attempt, (None, 0.0))
        if permits is None:
            return
        if not answered:
            # Guards against more attempts at endpoints than the quota: an endpoint that does not notice that
            # the connection was closed goes on with the attempt.
            self._transport.expire_at(permits, until)
        elif self._closed:
            self._transport.release(permits)
        else:
            self._unused.append(permits)

    def close(self) -> None:
        """Releases the unused permits; those of attempts in flight follow as these end."""
        self._closed = True
        while self._unused:
            self._transport.release(self._unused.pop())


class FleetTransport(asyncio.DatagramProtocol):
    """A node's socket in its fleet, and the admission of its requests under the fleet's quotas.

    Args:
        section: The validated section `fleet` of the configuration.
        name: The node's name.
        request_time_max: The longest time (s) that a request of any class may take.
        seed: For all random choices.
        retry_after_max: The longest time (s) that a rejected client is asked to wait.
        counters: The node's counters.
    """

    def __init__(
        self,
        section: Mapping[str, Any],
        name: str,
        request_time_max: float,
        seed: int,
        retry_after_max: float,
        counters: Counters,
    ) -> None:
        config = read_section(section)
        self.counters = counters
        self._listen: Address = address_of(config.listen)
        self._clock_rate = config.clock_rate
        self._clock_stretch = (1 + config.clock_drift) / (1 - config.clock_drift)
        self._scopes = config.scopes
        self._retry_after_max = retry_after_max
        self._request_time_max = request_time_max
        self._loop = asyncio.get_running_loop()
        start = int(time.time() * 1000)
        permit_time_max = (request_time_max + PERMIT_SLACK_S) * self._clock_stretch
        self.agent = FleetAgent(name, start, config, permit_time_max, seed, self.now())
        self._waiting: deque[Waiter] = deque()
        self._transport: asyncio.DatagramTransport | None = None
        self._bind_task: asyncio.Task[None] | None = None
        self._tick_timer: asyncio.TimerHandle | None = None
        self._closed = False
        self._logged_at: dict[str, float] = {}
        counters.gauge("fleet_members_alive", lambda: len(self.agent.membership.live()))
        counters.gauge("fleet_requests_waiting", lambda: len(self._waiting))

    def now(self) -> float:
        """Returns this node's time (s) on the fleet's clock, which counts suspended time and never jumps."""
        # Guards against leases that outlast the suspension of a machine: CLOCK_MONOTONIC does not count it.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * self._clock_rate

    def attempt_end(self, timeout: float) -> float:
        """Returns when (s, the fleet's clock) an attempt written now has timed out by every clock."""
        return self.now() + (timeout + ARRIVAL_SLACK_S) * self._clock_stretch

    # The socket.

    async def open(self) -> None:
        """Binds the socket, in the background if the address is in use, and starts the timer."""
        if not await self._bind():
            self._bind_task = asyncio.create_task(self._retry_bind())
        self._tick()

    async def _bind(self) -> bool:
        # The address is not shared, so the kernel ensures that only one process uses the units of a node.
        try:
            await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        except OSError as error:
            self._log_fault(
                "fleet talk can't listen",
                str(error),
                "if it persists, end the earlier process of this node",
            )
            return False
        log.info("fleet started", extra=pairs(listen=text_of(self._listen)))
        return True

    async def _retry_bind(self) -> None:
        while not self._closed and not await self._bind():
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)

    # Methods of `asyncio.DatagramProtocol`.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the bound socket; the quarantine of this node's units counts from now."""
        self._transport = cast(asyncio.DatagramTransport, transport)
        self.agent.quotas.restart_quarantine(self.now())

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        """Processes a datagram and sends the replies; one that must not be accepted is counted and logged."""
        self.counters.add("fleet_datagrams_received")
        try:
            self._send(self.agent.receive(self.now(), data, text_of((source[0], source[1]))))
        except FleetError as error:
            self.counters.add(f"fleet_datagrams_rejected_{fault_kind(error).lower()}")
            self._log_fault(fault_kind(error), str(error.what), error.remedy)
        except Exception as error:
            self.counters.add_failure("fleet transport failed", error)
        self._serve_waiting()

    def error_received(self, error: Exception) -> None:
        """Counts an ICMP error: no process listens at some node's address."""
        self.counters.add("fleet_unreachable")

    def _send(self, datagrams: Sequence[Datagram]) -> None:
        if self._transport is None:
            return
        for datagram in datagrams:
            self.counters.add("fleet_datagrams_sent")
            self.counters.add("fleet_bytes_sent", len(datagram.data))
            self._transport.sendto(datagram.data, address_of(datagram.address))

    def _tick(self) -> None:
        if self._closed:
            return
        self._tick_timer = self._loop.call_later(TICK_INTERVAL_S, self._tick)
        if self._transport is None:
            # Guards against permits used at the same time as those of an earlier process of this node.
            return self._serve_waiting()
        try:
            now = self.now()
            self._send(self.agent.tick(now))
            for name, before, after in self.agent.membership.take_changes():
                if (before is None or not before.live) and after is not None and after.live:
                    log.info("fleet member joined", extra=pairs(node=name, at=after.address))
                elif before is not None and before.live and (after is None or not after.live):
                    log.warning("fleet member lost", extra=pairs(node=name))
            for fault in self.agent.faults(now):
                self._log_fault(fault_kind(fault), f"{fault.where}: {fault.what}", fault.remedy)
        except Exception as error:
            self.counters.add_failure("fleet transport failed", error)
        self._serve_waiting()

    def _log_fault(self, kind: str, what: str, remedy: str) -> None:
        now = self._loop.time()
        if now - self._logged_at.get(kind, -FAULT_LOG_INTERVAL_S) >= FAULT_LOG_INTERVAL_S:
            self._logged_at[kind] = now
            log.warning("fleet fault", extra=pairs(kind=kind, what=what, remedy=remedy))

    def close(self) -> None:
        """Rejects the waiting requests, announces the leave, and closes the socket."""
        self._closed = True
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._bind_task is not None:
            self._bind_task.cancel()
        while self._waiting:
            self._resolve(self._waiting.popleft(), None)
        if self._transport is not None:
            self._send(self.agent.leave(self.now()))
            self._transport.close()
            self._transport = None

    # Permits.

    async def admit(self, spec: RequestSpec) -> Response | tuple[RequestPermits | None, RequestSpec]:
        """Waits for a permit under each quota that applies to a request.

        Returns:
            The permits (None if no quota applies) and the request with the time that is left; or the response
            that rejects it.
        """
        quotas = tuple(
            name for name, scope in self._scopes.items() if scope.covers(spec.request_class, spec.tenant)
        )
        if not quotas:
            return None, spec
        started_at = self.now()
        until = (
            started_at + (min(spec.time_left, self._request_time_max) + PERMIT_SLACK_S) * self._clock_stretch
        )
        permits = None if self._has_waiter_for(quotas) else self.acquire(quotas, until)
        if permits is None:
            deadline = started_at + min(REQUEST_TIMEOUT_S, WAIT_SHARE * spec.time_left)
            waiter = Waiter(quotas, until, deadline, self._loop.create_future())
            self._waiting.append(waiter)
            self._update_waiting(quotas)
            self._serve_waiting()
            try:
                permits = await waiter.result
            except asyncio.CancelledError:
                if waiter.result.done() and not waiter.result.cancelled():
                    self.release(waiter.result.result() or [])
                raise
        if permits is None:
            self.counters.add("fleet_requests_rejected")
            configured = [name for name in quotas if name in self.agent.quotas.names]
            retry_after = max(
                (self.agent.quotas.retry_after(self.now(), name) for name in configured), default=0.0
            )
            return rejection(min(retry_after, self._retry_after_max))
        waited = self.now() - started_at
        return RequestPermits(self, quotas, permits), replace(spec, time_left=spec.time_left - waited)

    def _has_waiter_for(self, quotas: Sequence[str]) -> bool:
        return any(name in waiter.quotas for waiter in self._waiting for name in quotas)

    def acquire(self, quotas: Sequence[str], until: float) -> list[Permit] | None:
        """Returns a permit under each of the quotas that still exist, or None if any of them has none."""
        permits: list[Permit] = []
        for name in (name for name in quotas if name in self.agent.quotas.names):
            permit = self.agent.quotas.acquire(self.now(), name, until)
            if permit is None:
                self.release(permits)
                return None
            permits.append(permit)
        return permits

    def extend(self, permits: Sequence[Permit], until: float) -> bool:
        """Extends permits until then; returns False if one has expired or cannot be extended so far."""
        return all(self.agent.quotas.extend(self.now(), permit, until) for permit in permits)

    def release(self, permits: Sequence[Permit]) -> None:
        """Frees the units of permits that are no longer needed."""
        for permit in permits:
            self._send(self.agent.pack(self.agent.quotas.release(self.now(), permit)))
        if permits and self._waiting:
            self._loop.call_soon(self._serve_waiting)

    def expire_at(self, permits: Sequence[Permit], until: float) -> None:
        """Keeps permits until then and no longer."""
        for permit in permits:
            self.agent.quotas.expire_at(permit, until)

    def _update_waiting(self, quotas: Sequence[str]) -> None:
        for name in dict.fromkeys(quotas):
            waiting = sum(1 for waiter in self._waiting if name in waiter.quotas)
            self._send(self.agent.pack(self.agent.quotas.set_waiting(self.now(), name, waiting)))

    def _serve_waiting(self) -> None:
        """Grants permits to the waiting requests in order, and rejects those that can no longer get any."""
        fleet_quotas = self.agent.quotas
        if not self._waiting:
            return
        now, exhausted, changed = self.now(), set[str](), list[str]()
        for waiter in list(self._waiting):
            # Guards against a request that gets a unit before an earlier one that waits for the same quota.
            permits = (
                None if exhausted.intersection(waiter.quotas) else self.acquire(waiter.quotas, waiter.until)
            )
            is_rejected = now >= waiter.deadline or not any(
                fleet_quotas.may_be_granted(name) for name in waiter.quotas
            )
            if waiter.result.cancelled() or permits is not None or is_rejected:
                self._waiting.remove(waiter)
                self._resolve(waiter, permits)
                changed += waiter.quotas
            if permits is None:
                exhausted.update(waiter.quotas)
        if changed:
            self._update_waiting(changed)

    def _resolve(self, waiter: Waiter, permits: list[Permit] | None) -> None:
        if waiter.result.done():
            self.release(permits or [])
        else:
            waiter.result.set_result(permits)

    # Reconfiguration and status.

    def apply_config(self, section: Mapping[str, Any], request_time_max: float) -> None:
        """Replaces keys and quotas by those of a reloaded configuration.

        Raises:
            FleetError: They can't change yet, or a request class may take longer than the leases allow for.
        """
        # Guards against requests that outlast their leases: a lease's term follows from the longest request
        # time at the start of this process.
        if request_time_max > self._request_time_max:
            what = f"a profile's time of {request_time_max} s exceeds the leases' {self._request_time_max} s"
            raise LongerJobs(what, "settings.profiles", "restart the node with this configuration")
        config = read_section(section)
        self.agent.apply_config(self.now(), config)
        self._scopes = config.scopes
        for waiter in self._waiting:
            # Guards against requests that wait for a quota which was removed.
            waiter.quotas = tuple(name for name in waiter.quotas if name in self.agent.quotas.names)
        self._serve_waiting()

    def status(self) -> dict[str, Any]:
        """Returns this node's view of its fleet, for the admin API."""
        now, agent = self.now(), self.agent
        return {
            "away": agent.membership.is_away(now),
            "nodes": {
                name: {"state": member.state.name.lower(), "start": member.start, "at": member.address}
                for name, member in agent.membership.members().items()
            },
            "limits": {name: agent.quotas.stats(now, name)._asdict() for name in agent.quotas.names},
            "faults": [str(fault) for fault in agent.faults(now)],
        }
