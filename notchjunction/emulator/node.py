"""A node in virtual time: the host of one real balancer, and its connections to servers."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from functools import partial
from math import inf
from random import Random
from typing import Protocol

from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    BalancerHost,
    BalancerSettings,
    EndpointEntry,
    Idempotency,
    ListUpdate,
    LoadReport,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
)
from notchjunction.discovery.watch_state import ListWatch, WatchEvent
from notchjunction.emulator.clock import Clock
from notchjunction.emulator.discovery import Discovery, OnResponse
from notchjunction.emulator.scenario import Scenario
from notchjunction.emulator.servers import Call, Server
from notchjunction.emulator.trace import (
    AttemptEnded,
    AttemptSent,
    EndpointNotified,
    FinalResponse,
    ProbeSent,
    RequestAccepted,
    RequestAnswered,
    TraceRow,
)

TICK_S = 0.005  # resolution of timers in the balancer's settings; timers here are exact
POLL_INTERVAL_S = 10.0  # at most, between polls of discovery
PROBE_TIMEOUT_S = 0.3
MAX_ATTEMPTS = 4  # per request
CONNECTION_COST = 0.01  # where connections cost something; only whether it is 0 matters
CROSS_ZONE_COST = 0.05  # where messages between zones take longer

BalancerFactory = Callable[[BalancerSettings, BalancerHost], RequestBalancer]
NO_FIRST_REQUEST = -1  # the first try of a request that a server makes


class NodeEnvironment(Clock, Protocol):
    """What a node needs of its world."""

    scenario: Scenario
    discovery: Discovery
    random: Random
    rows: list[TraceRow]
    servers: list[Server]  # by number
    tiers: list[list[Server]]

    def sample_latency(self) -> float:
        """Return a random time (s) that a message takes within a zone."""

    def deliver(self, source_zone: int, target_zone: int, on_arrival: Callable[[], None]) -> None:
        """Send a message from one zone to another; call `on_arrival` if and when it arrives."""


@dataclass(slots=True)
class IncomingRequest:
    """A request that a node receives.

    `on_response` receives the final response, and after a rejection the time (s) after which to retry.
    """

    request_class: int
    time_left: float  # s until its deadline
    work: float  # s on a server of speed 1, in a tier of share 1
    on_response: Callable[[FinalResponse, float], None]
    tenant: int = 0
    first_request: int = NO_FIRST_REQUEST  # number of the client's first try
    is_retry: bool = False


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to a server."""

    server: Server
    generation: int
    idle_since: float = 0.0


@dataclass(slots=True, eq=False)
class AttemptInFlight:
    """An attempt that has no outcome yet."""

    call: Call
    server: Server
    sent_at: float
    connection: Connection | None = None


@dataclass(slots=True)
class RequestHandle:
    """A request at a node, for its client to cancel."""

    node: Node
    request: int

    def cancel(self) -> None:
        """Cancel the request if it has no final response yet."""
        self.node.cancel(self.request)


@dataclass(slots=True)
class ConnectionPool:
    """The idle connections of one node; unused in scenarios where connections cost nothing."""

    world: NodeEnvironment
    idle: dict[int, list[Connection]] = field(default_factory=dict)

    def acquire(self, server: Server) -> Connection | None:
        """Return the connection that became idle last, without those that a stop of the server has closed."""
        idle = self.idle.get(server.number, [])
        while idle:
            connection = idle.pop()
            if connection.generation == server.generation:
                return connection
        return None

    def release(self, connection: Connection) -> None:
        """Keep a connection for reuse until its idle timeout."""
        connection.idle_since = self.world.now
        self.idle.setdefault(connection.server.number, []).append(connection)
        self.world.after(
            self.world.scenario.connection_idle, partial(self._expire, connection, connection.idle_since)
        )

    def close(self, connection: Connection) -> None:
        """Close a connection that is not in the pool."""
        connection.server.disconnect(connection.generation)

    def _expire(self, connection: Connection, idle_since: float) -> None:
        idle = self.idle.get(connection.server.number, [])
        if connection in idle and connection.idle_since == idle_since:
            idle.remove(connection)
            self.close(connection)

    def close_all(self) -> None:
        """Close all idle connections."""
        for idle in self.idle.values():
            for connection in idle:
                self.close(connection)
        self.idle.clear()


class Node:
    """One of `group_size` nodes that balance the servers of `tier`; it is in `zone`."""

    def __init__(
        self,
        world: NodeEnvironment,
        number: int,
        tier: int,
        zone: int,
        group_size: int,
        make_balancer: BalancerFactory,
    ) -> None:
        self.world = world
        self.number, self.tier, self.zone = number, tier, zone
        self.alive = True
        scenario = world.scenario
        world.discovery.join(tier, number)
        self._version = world.discovery.version(tier)
        # Saves events: without unanswered polls to detect, each poll waits for ever.
        self._watch = ListWatch(POLL_INTERVAL_S, seed=number) if scenario.has_unanswered_polls else None
        self._poll = 0  # number of the last poll; the response to an earlier one is ignored
        self._request_count = 0
        self._requests: dict[int, IncomingRequest] = {}
        self._in_flight: dict[tuple[int, int], AttemptInFlight] = {}
        self._attempt_counts: dict[int, int] = {}
        self._notified_starts: dict[int, float] = {}  # by server
        self._connections = ConnectionPool(world)
        self._pools_connections = scenario.connection_idle > 0
        settings = BalancerSettings(
            seed=world.random.getrandbits(32),
            request_classes=scenario.profiles,
            tenant_quotas=() if tier else scenario.quotas,
            node_count=group_size,
            tier=tier,
            tier_count=len(scenario.effective_tiers),
            zone=zone,
            polls_list=True,
            max_attempts=MAX_ATTEMPTS,
            poll_interval=POLL_INTERVAL_S,
            tick=TICK_S,
            cross_zone_cost=CROSS_ZONE_COST if scenario.zone_latency else 0.0,
            connection_cost=CONNECTION_COST if scenario.handshake_work else 0.0,
            connection_idle_timeout=scenario.connection_idle,
            slow_start_share=scenario.cold_share,
            slow_start_time=scenario.cold_time,
            overload_multiple=scenario.tip_multiple,
        )
        self._balancer = make_balancer(settings, self)
        self._apply_update(ListUpdate.CACHED, [world.discovery.entry(server) for server in world.tiers[tier]])

    # Called by the world.

    def accept(self, incoming: IncomingRequest) -> RequestHandle:
        """Accept a request from a client or a server."""
        self._request_count += 1
        request = self._request_count
        self._requests[request] = incoming
        now = self.world.now
        self.world.rows.append(
            RequestAccepted(
                now,
                self.number,
                request,
                incoming.request_class,
                now + incoming.time_left,
                incoming.first_request,
            )
        )
        self._balancer.request_arrived(
            NewRequest(
                request,
                incoming.request_class,
                incoming.tenant,
                incoming.time_left,
                is_client_retry=incoming.is_retry,
            )
        )
        return RequestHandle(self, request)

    def cancel(self, request: int) -> None:
        """Cancel a request for its client; no effect after the final response."""
        if self.alive and request in self._requests:
            self._respond(request, FinalResponse.CANCELLED)
            self._balancer.request_cancelled(request)

    def stop(self) -> None:
        """Stop for good: cancel all requests and attempts, and close all connections."""
        self.alive = False
        for request in list(self._requests):
            self._respond(request, FinalResponse.CANCELLED)
        for key, attempt in list(self._in_flight.items()):
            self._record_attempt_end(key, attempt)
            self._cancel_at_server(attempt)
        self._in_flight.clear()
        self._connections.close_all()
        self.world.discovery.forget(self.number)

    # Attempts.

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send an attempt, over an idle or a new connection where connections cost something."""
        attempt_number = self._attempt_counts.get(request, 0)
        self._attempt_counts[request] = attempt_number + 1
        world, now = self.world, self.world.now
        world.rows.append(AttemptSent(now, self.number, request, attempt_number, endpoint, now + timeout))
        incoming = self._requests.get(request)
        server = world.servers[endpoint]
        key = (request, attempt_number)
        request_class = incoming.request_class if incoming else 0
        call = Call(
            attempt_id=(self.number, request, attempt_number),
            request_class=request_class,
            work=incoming.work if incoming else 0.0,
            deadline=now + timeout,
            on_result=lambda result: world.deliver(
                server.zone, self.zone, partial(self._end_attempt, key, result)
            ),
            deduplication_key=(self.number, request)
            if world.scenario.profiles[request_class].idempotency is Idempotency.KEYED
            else None,
        )
        attempt = self._in_flight[key] = AttemptInFlight(call, server, now)
        world.after(timeout, partial(self._end_attempt, key, AttemptResult.TIMED_OUT))
        if self._pools_connections:
            attempt.connection = self._connections.acquire(server)
            if attempt.connection is None:
                self._connect(key, attempt)
                return
        world.deliver(self.zone, server.zone, partial(self._arrive, attempt))

    def _connect(self, key: tuple[int, int], attempt: AttemptInFlight) -> None:
        """Open a connection and send the attempt on it; end the attempt if that is refused or times out."""
        scenario, server = self.world.scenario, attempt.server

        def on_handshake() -> None:
            if key not in self._in_flight:
                return
            if not server.up:
                result = AttemptResult.NO_CONNECTION
            elif not server.connect():
                result = AttemptResult.REJECTED
            else:
                attempt.connection = Connection(server, server.generation)
                attempt.call.work += scenario.handshake_work
                self._arrive(attempt)
                return
            self.world.deliver(server.zone, self.zone, partial(self._end_attempt, key, result))

        def on_connect_timeout() -> None:
            if key in self._in_flight and attempt.connection is None:
                self._end_attempt(key, AttemptResult.NO_CONNECTION)

        self.world.deliver(
            self.zone, server.zone, lambda: self.world.after(scenario.handshake_time, on_handshake)
        )
        self.world.after(scenario.handshake_time + scenario.connect_within, on_connect_timeout)

    def _arrive(self, attempt: AttemptInFlight) -> None:
        attempt.call.informed = (
            self._notified_starts.get(attempt.server.number, 0.0) >= attempt.server.started_at
        )
        attempt.server.receive(attempt.call)

    def _end_attempt(self, key: tuple[int, int], result: AttemptResult) -> None:
        attempt = self._in_flight.pop(key, None)
        if attempt is None or not self.alive:
            return
        self._record_attempt_end(key, attempt)
        request, attempt_number = key
        abandoned = result in (AttemptResult.TIMED_OUT, AttemptResult.CANCELLED)
        if abandoned:
            self._cancel_at_server(attempt)
        if attempt.connection is not None:
            if abandoned or result is AttemptResult.RESET:
                self._connections.close(attempt.connection)
            else:
                self._connections.release(attempt.connection)
        if result is AttemptResult.SUCCEEDED and request in self._requests:
            self._respond(request, FinalResponse.SUCCEEDED)
        final = request not in self._requests
        seconds = self.world.now - attempt.sent_at
        self._balancer.attempt_ended(
            AttemptOutcome(request, attempt_number, attempt.server.number, result, seconds, final)
        )

    def _record_attempt_end(self, key: tuple[int, int], attempt: AttemptInFlight) -> None:
        self.world.rows.append(AttemptEnded(self.world.now, self.number, *key, attempt.server.number))

    def _cancel_at_server(self, attempt: AttemptInFlight) -> None:
        self.world.deliver(self.zone, attempt.server.zone, partial(attempt.server.cancel, attempt.call))

    def _respond(self, request: int, response: FinalResponse, retry_after: float = 0.0) -> None:
        """Give a request its final response; a second one is recorded too, for the checkers to find."""
        self.world.rows.append(RequestAnswered(self.world.now, self.number, request, response))
        self._attempt_counts.pop(request, None)
        incoming = self._requests.pop(request, None)
        if incoming is not None and response is not FinalResponse.CANCELLED:
            incoming.on_response(response, retry_after)

    # The endpoint list.

    def _handle_poll_response(self, poll: int, changes: Sequence[EndpointEntry] | None, version: int) -> None:
        if not self.alive or poll != self._poll:
            return
        self._poll += 1  # the poll has ended, and its timeout no longer applies
        if self._watch is not None:
            event = WatchEvent.REJECTED if changes is None else WatchEvent.ANSWERED
            self._watch.poll_ended(event, self.world.now)
        if changes is None:
            self._balancer.list_updated(ListUpdate.FAILED, ())
            return
        self._version = version
        self._apply_update(ListUpdate.CHANGES, changes)
        # Continuing a watch costs discovery no work.
        self._start_poll(self.world.discovery.watch)

    def _receive_poll_response(
        self, poll: int, changes: Sequence[EndpointEntry] | None, version: int
    ) -> None:
        self.world.after(
            self.world.sample_latency(), partial(self._handle_poll_response, poll, changes, version)
        )

    def _start_poll(self, send: Callable[[int, int, int, OnResponse, float], None]) -> None:
        world, wait = self.world, inf
        self._poll += 1
        if self._watch is not None:
            wait = self._watch.next_wait(has_version=True)
            world.after(self._watch.poll_started(world.now, wait), partial(self._on_poll_timeout, self._poll))
        on_response = partial(self._receive_poll_response, self._poll)
        world.after(
            world.sample_latency(),
            partial(send, self.tier, self.number, self._version, on_response, wait),
        )

    def _on_poll_timeout(self, poll: int) -> None:
        if self.alive and poll == self._poll and self._watch is not None:
            self._watch.poll_ended(WatchEvent.TIMED_OUT, self.world.now)
            self._start_poll(self.world.discovery.poll)

    def _apply_update(self, update: ListUpdate, entries: Sequence[EndpointEntry]) -> None:
        now = self.world.now
        self._notified_starts.update({entry.number: entry.started_at for entry in entries})
        self.world.rows += [
            EndpointNotified(now, self.number, entry.number, entry.state) for entry in entries
        ]
        self._balancer.list_updated(update, entries)

    # The other methods of `BalancerHost`.

    def now(self) -> float:
        """Return the world's time (s)."""
        return self.world.now

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt in flight; its outcome is reported in an event of its own."""
        if (request, attempt) in self._in_flight:
            self.world.after(0.0, partial(self._end_attempt, (request, attempt), AttemptResult.CANCELLED))

    def send_probe(self, endpoint: int) -> None:
        """Probe a server; the first of its response and the timeout counts."""
        world, server = self.world, self.world.servers[endpoint]
        world.rows.append(ProbeSent(world.now, self.number, endpoint))
        done = False

        def end_probe(result: AttemptResult, load: LoadReport | None) -> None:
            nonlocal done
            if not done and self.alive:
                done = True
                self._balancer.probe_ended(endpoint, result, load)

        def on_arrival() -> None:
            seconds = server.probe_seconds()
            if seconds is None and not server.up:
                world.deliver(server.zone, self.zone, partial(end_probe, AttemptResult.NO_CONNECTION, None))
            elif seconds is not None:
                world.after(
                    seconds,
                    lambda: world.deliver(
                        server.zone, self.zone, partial(end_probe, AttemptResult.SUCCEEDED, server.report())
                    ),
                )

        world.deliver(self.zone, server.zone, on_arrival)
        world.after(PROBE_TIMEOUT_S, partial(end_probe, AttemptResult.TIMED_OUT, None))

    def reject(self, request: int, retry_after: float) -> None:
        """Reject a request."""
        self._respond(request, FinalResponse.REJECTED, retry_after)

    def fail(self, request: int) -> None:
        """Fail a request."""
        self._respond(request, FinalResponse.FAILED)

    def set_timer(self, delay: float, token: int) -> None:
        """Set a timer of the balancer, which a stop of the node disarms."""
        self.world.after(delay, lambda: self._balancer.timer_fired(token) if self.alive else None)

    def poll_list(self) -> None:
        """Poll discovery anew."""
        self._start_poll(self.world.discovery.poll)

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Do nothing: the emulator has no use for it."""
        pass

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Do nothing: emulated nodes do not gossip."""
