"""The talk between the nodes of a fleet on one datagram socket, and the door before the decisions. Off
unless told.

What is said and who may send is decided in `fleet/`; here are the socket, the clock, and jobs that wait for
a right.
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

TICK = 0.025  # s between looks at what is due; short against the time that a job waits for a right
BIND_EVERY = 0.25  # s between tries for the socket, which an earlier process of this node may still hold
WRITE_SLACK = 0.4  # s past a job's time that a right covers: a connection may take that long to come up
ARRIVE_SLACK = 0.25  # s until what is written has been read by its server; networks lose and repeat
SLACK = WRITE_SLACK + ARRIVE_SLACK
WAIT_SHARE = 0.25  # of a job's time that it waits for a right at most
FAULT_EVERY = 10.0  # s between log lines of one kind; what is refused may come in floods


def kind_of(error: FleetError) -> str:
    """The error's name in log lines and counters: that of its type, without "Error"."""
    return type(error).__name__.removesuffix("Error")


class LongerJobs(FleetError):
    """Profiles whose jobs may take longer than rights are lent for."""


@dataclass(slots=True, eq=False)
class Waiter:
    """A job that waits for rights under `names`; they must last until `until` (s, the fleet's clock)."""

    names: tuple[str, ...]
    until: float
    deadline: float
    done: asyncio.Future[list[Permit] | None]


class RequestPermits:
    """One job's rights: a set for each dispatch that is out; the first set was there before the job."""

    def __init__(self, talk: FleetTransport, names: tuple[str, ...], first: list[Permit]) -> None:
        self._talk = talk
        self._names = names
        self._spare: list[list[Permit]] = [first]
        self._out: dict[int, tuple[list[Permit], float]] = {}
        self._closed = False

    def acquire(self, attempt: int, timeout: float) -> bool:
        until = self._talk.until(timeout)
        held = self._spare.pop() if self._spare else self._talk.spend(self._names, until)
        if held is None or not self._talk.extend(held, until):
            self._talk.counters.add("fleet_quota_exhausted")
            self._talk.release(held or [])
            return False
        self._out[attempt] = held, until
        return True

    def attempt_ended(self, attempt: int, answered: bool) -> None:
        held, until = self._out.pop(attempt, (None, 0.0))
        if held is None:
            return
        if not answered:
            # Guards against more at servers than the limit, where they do not notice that a node has gone.
            self._talk.hold(held, until)
        elif self._closed:
            self._talk.release(held)
        else:
            self._spare.append(held)

    def close(self) -> None:
        self._closed = True
        while self._spare:
            self._talk.release(self._spare.pop())


class FleetTransport(asyncio.DatagramProtocol):
    """`longest`: s of the longest abandon time; `advice_most`: s that a client may be asked to wait."""

    def __init__(
        self,
        section: Mapping[str, Any],
        name: str,
        longest: float,
        seed: int,
        advice_most: float,
        counters: Counters,
    ) -> None:
        told = read_section(section)
        self.counters = counters
        self._listen: Address = address_of(told.listen)
        self._rate = told.rate
        self._stretch = (1 + told.drift) / (1 - told.drift)
        self._scopes = told.scopes
        self._advice_most = advice_most
        self._longest = longest
        self._loop = asyncio.get_running_loop()
        start = int(time.time() * 1000)
        most = (longest + SLACK) * self._stretch
        self.member = FleetAgent(name, start, told, most, seed, self.now())
        self._waiting: deque[Waiter] = deque()
        self._transport: asyncio.DatagramTransport | None = None
        self._binding: asyncio.Task[None] | None = None
        self._ticking: asyncio.TimerHandle | None = None
        self._closed = False
        self._told_at: dict[str, float] = {}
        counters.gauge("fleet_members_alive", lambda: len(self.member.roster.live()))
        counters.gauge("fleet_requests_waiting", lambda: len(self._waiting))

    def now(self) -> float:
        """The fleet's clock at this node: one that goes on while the machine sleeps, and never jumps."""
        # Guards against leases that outlast a machine's sleep, which the usual clock does not count.
        return time.clock_gettime(time.CLOCK_BOOTTIME) * self._rate

    def until(self, within: float) -> float:
        """When the time of a dispatch written now is over by any clock."""
        return self.now() + (within + ARRIVE_SLACK) * self._stretch

    # The socket.

    async def open(self) -> None:
        if not await self._bind():
            self._binding = asyncio.create_task(self._bind_late())
        self._tick()

    async def _bind(self) -> bool:
        # Not shared: one process alone has a name's rights, and the address is how the system sees to it.
        try:
            await self._loop.create_datagram_endpoint(lambda: self, local_addr=self._listen)
        except OSError as error:
            self._tell(
                "fleet talk can't listen", str(error), "end the earlier process of this node, if it stays"
            )
            return False
        log.info("fleet started", extra=pairs(listen=text_of(self._listen)))
        return True

    async def _bind_late(self) -> None:
        while not self._closed and not await self._bind():
            await asyncio.sleep(BIND_EVERY)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.DatagramTransport, transport)
        self.member.limits.restart_quarantine(self.now())

    def datagram_received(self, data: bytes, source: tuple[Any, ...]) -> None:
        self.counters.add("fleet_datagrams_received")
        try:
            self._send(self.member.hear(self.now(), data, text_of((source[0], source[1]))))
        except FleetError as error:
            self.counters.add(f"fleet_datagrams_rejected_{kind_of(error).lower()}")
            self._tell(kind_of(error), str(error.what), error.remedy)
        except Exception as error:
            self.counters.add_failure("fleet transport failed", error)
        self._look()

    def error_received(self, error: Exception) -> None:
        """A node that is gone: the talk goes on without it."""
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
        self._ticking = self._loop.call_later(TICK, self._tick)
        if self._transport is None:
            return self._look()  # guards against rights spent beside an earlier process of this node
        try:
            now = self.now()
            self._send(self.member.tick(now))
            for name, before, after in self.member.roster.take_changes():
                if (before is None or not before.live) and after is not None and after.live:
                    log.info("fleet member joined", extra=pairs(node=name, at=after.address))
                elif before is not None and before.live and (after is None or not after.live):
                    log.warning("fleet member lost", extra=pairs(node=name))
            for fault in self.member.faults(now):
                self._tell(kind_of(fault), f"{fault.where}: {fault.what}", fault.remedy)
        except Exception as error:
            self.counters.add_failure("fleet transport failed", error)
        self._look()

    def _tell(self, kind: str, what: str, remedy: str) -> None:
        now = self._loop.time()
        if now - self._told_at.get(kind, -FAULT_EVERY) >= FAULT_EVERY:
            self._told_at[kind] = now
            log.warning("fleet fault", extra=pairs(kind=kind, what=what, remedy=remedy))

    def close(self) -> None:
        self._closed = True
        if self._ticking is not None:
            self._ticking.cancel()
        if self._binding is not None:
            self._binding.cancel()
        while self._waiting:
            self._settle(self._waiting.popleft(), None)
        if self._transport is not None:
            self._send(self.member.leave(self.now()))
            self._transport.close()
            self._transport = None

    # Rights.

    async def admit(self, ask: RequestSpec) -> Response | tuple[RequestPermits | None, RequestSpec]:
        """Rights for a job under all limits that are about it, and its ask; or the answer of a refusal."""
        names = tuple(
            name for name, scope in self._scopes.items() if scope.covers(ask.request_class, ask.tenant)
        )
        if not names:
            return None, ask
        began = self.now()
        until = began + (min(ask.time_left, self._longest) + SLACK) * self._stretch
        permits = None if self._queued(names) else self.spend(names, until)
        if permits is None:
            deadline = began + min(REQUEST_TIMEOUT_S, WAIT_SHARE * ask.time_left)
            waiter = Waiter(names, until, deadline, self._loop.create_future())
            self._waiting.append(waiter)
            self._seek(names)
            self._look()
            try:
                permits = await waiter.done
            except asyncio.CancelledError:
                if waiter.done.done() and not waiter.done.cancelled():
                    self.release(waiter.done.result() or [])
                raise
        if permits is None:
            self.counters.add("fleet_requests_rejected")
            there = [name for name in names if name in self.member.limits.names]
            free_in = max((self.member.limits.retry_after(self.now(), name) for name in there), default=0.0)
            return rejection(min(free_in, self._advice_most))
        waited = self.now() - began
        return RequestPermits(self, names, permits), replace(ask, time_left=ask.time_left - waited)

    def _queued(self, names: Sequence[str]) -> bool:
        return any(name in waiter.names for waiter in self._waiting for name in names)

    def spend(self, names: Sequence[str], until: float) -> list[Permit] | None:
        """A right under each limit that there still is, or none at all."""
        permits: list[Permit] = []
        for name in (name for name in names if name in self.member.limits.names):
            permit = self.member.limits.acquire(self.now(), name, until)
            if permit is None:
                self.release(permits)
                return None
            permits.append(permit)
        return permits

    def extend(self, permits: Sequence[Permit], until: float) -> bool:
        return all(self.member.limits.extend(self.now(), permit, until) for permit in permits)

    def release(self, permits: Sequence[Permit]) -> None:
        for permit in permits:
            self._send(self.member.packed(self.member.limits.release(self.now(), permit)))
        if permits and self._waiting:
            self._loop.call_soon(self._look)

    def hold(self, permits: Sequence[Permit], until: float) -> None:
        for permit in permits:
            self.member.limits.expire_at(permit, until)

    def _seek(self, names: Sequence[str]) -> None:
        for name in dict.fromkeys(names):
            waiting = sum(1 for waiter in self._waiting if name in waiter.names)
            self._send(self.member.packed(self.member.limits.set_waiting(self.now(), name, waiting)))

    def _look(self) -> None:
        """Those who wait, in order: each gets its rights, or its no once nothing is to be hoped for."""
        limits = self.member.limits
        if not self._waiting:
            return
        now, short, changed = self.now(), set[str](), list[str]()
        for waiter in list(self._waiting):
            # Guards against a job that overtakes those who waited before it.
            permits = None if short.intersection(waiter.names) else self.spend(waiter.names, waiter.until)
            hopeless = now >= waiter.deadline or not any(limits.may_be_granted(name) for name in waiter.names)
            if waiter.done.cancelled() or permits is not None or hopeless:
                self._waiting.remove(waiter)
                self._settle(waiter, permits)
                changed += waiter.names
            if permits is None:
                short.update(waiter.names)
        if changed:
            self._seek(changed)

    def _settle(self, waiter: Waiter, permits: list[Permit] | None) -> None:
        if waiter.done.done():
            self.release(permits or [])
        else:
            waiter.done.set_result(permits)

    # The file, and what is shown.

    def renew(self, section: Mapping[str, Any], longest: float) -> None:
        """Keys and limits as the file has them now; a FleetError where they can't be taken yet."""
        # Guards against jobs that outlast the rights lent for them: these follow the longest at the start.
        if longest > self._longest:
            what = f"a profile's time of {longest} s, over the {self._longest} s that rights are lent for"
            raise LongerJobs(what, "settings.profiles", "start the node again with it")
        told = read_section(section)
        self.member.renew(self.now(), told)
        self._scopes = told.scopes
        for waiter in self._waiting:
            # Guards against jobs that wait under a limit which has gone.
            waiter.names = tuple(name for name in waiter.names if name in self.member.limits.names)
        self._look()

    def figures(self) -> dict[str, Any]:
        """What this node holds of its fleet, for an operator."""
        now, member = self.now(), self.member
        return {
            "away": member.roster.is_away(now),
            "nodes": {
                name: {"state": held.state.name.lower(), "start": held.start, "at": held.address}
                for name, held in member.roster.members().items()
            },
            "limits": {name: member.limits.stats(now, name)._asdict() for name in member.limits.names},
            "faults": [str(fault) for fault in member.faults(now)],
        }
