"""One node process: connects clients, the balancer, endpoints and discovery; starts and shuts down."""

from __future__ import annotations

import asyncio
import logging
import math
import signal
import socket
import time
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from notchjunction import protocol
from notchjunction.addresses import Address, text_of
from notchjunction.balancing.engine import (
    BalancerEngine,
    PollList,
    ReportEjection,
    RequestSpec,
    SendGossip,
    SendProbe,
)
from notchjunction.balancing.interface import ListUpdate
from notchjunction.config import node_config
from notchjunction.config.node_config import NodeConfig
from notchjunction.config.validation import InvalidConfigurationError
from notchjunction.discovery.endpoint_list import EndpointList, ListUnavailableError, read_list
from notchjunction.discovery.known_endpoints import KnownEndpoints
from notchjunction.discovery.watch_state import ListWatch
from notchjunction.errors import NotchjunctionError
from notchjunction.http1.messages import Request
from notchjunction.net import admin, gossip_socket
from notchjunction.net.admin import AdminListener
from notchjunction.net.body_streaming import StreamBuffers
from notchjunction.net.client_listener import ClientListener
from notchjunction.net.client_registry import LINGER_FINAL_S, ClientRegistry, ClientServices
from notchjunction.net.descriptors import BASE_DESCRIPTORS, Descriptors
from notchjunction.net.discovery_client import DiscoveryClient
from notchjunction.net.memory_budget import MemoryBudget, resident_bytes
from notchjunction.net.request_handler import RequestHandler, RequestResources
from notchjunction.net.upstream import UpstreamPool
from notchjunction.node.background_tasks import BackgroundTasks
from notchjunction.node.gauges import register_gauges, register_gossip_gauges
from notchjunction.telemetry.counters import Counters
from notchjunction.telemetry.flight_recorder import Occurrence
from notchjunction.telemetry.logs import pairs
from notchjunction.upgrade.handover import Handover, StreamSender
from notchjunction.upgrade.listener_sharing import InheritedState
from notchjunction.upgrade.messages import NodeState, OperatorCommand, ProcessIdentity, ResourceUsage
from notchjunction.upgrade.serving_state import ServingAction, ServingEvent, ServingState, ServingStateMachine
from notchjunction.upgrade.shutdown import GracefulShutdown, ShutdownAction

if TYPE_CHECKING:
    from notchjunction.net.fleet_transport import FleetTransport

log = logging.getLogger(__name__)

# Between checks for idle upstream connections; short against their idle timeout.
SWEEP_INTERVAL_S = 1.0
# Between checks of a node that drains its clients, out of service or shutting down.
DRAIN_CHECK_INTERVAL_S = 0.05
# From the first "not ready" until clients are drained; new clients arrive for up to 0.3 s of it.
READINESS_NOTICE_S = 0.4
# From the start of a shutdown's drain until idle clients are closed, however briefly they have been idle.
IDLE_GRACE_S = 0.6
# Characters of an affinity key that are used; a longer key is cut and still maps to fixed endpoints.
MAX_AFFINITY_KEY_LENGTH = 128
# A client idle for less is not closed during a drain: the response to its next request closes it.
MIN_IDLE_S = 0.5


def _max_request_deadline(config: NodeConfig) -> float:
    """Returns the longest deadline (s) of the request classes."""
    return max((request_class.deadline for request_class in config.balancer.request_classes), default=0.0)


class Node:
    """A node process: owns its listeners, connections, balancer, watch on discovery and background tasks.

    It is the target of the admin API and of the handover between processes of one node.
    """

    def __init__(self, config: NodeConfig) -> None:
        self._config = config
        self._clock_offset = time.time() - time.monotonic()
        self._loop = asyncio.get_running_loop()
        self.counters = counters = Counters(self.now)
        reserved = admin.DESCRIPTORS if config.admin_address else 0
        reserved += gossip_socket.DESCRIPTORS if config.gossip else 0
        reserved += gossip_socket.DESCRIPTORS if config.fleet is not None else 0
        self._descriptors = descriptors = Descriptors(config.max_descriptors, reserved)
        self._memory = MemoryBudget(config.max_memory, resident_bytes(), descriptors.max_clients)
        descriptors.limit_clients(self._memory.max_clients)
        streams = StreamBuffers(self._memory)
        self._list_watch = ListWatch(
            config.balancer.poll_interval,
            config.list_is_pushed,
            config.balancer.seed,
            config.balancer.node_count,
        )
        self._discovery = DiscoveryClient(
            config.discovery, self._list_watch, self.now, self._close_oldest_client, counters.recorder
        )
        self._upstreams = UpstreamPool(
            self.now,
            config.connect_timeout,
            config.connection_idle_timeout,
            config.load_path,
            self._close_oldest_client,
            descriptors,
            counters,
            streams,
        )
        self._fleet = self._create_fleet_transport(config) if config.fleet is not None else None
        services = ClientServices(
            clock=self.now,
            start_request=self._start_request,
            ready=lambda: self._ready,
            request_classes=frozenset(config.setting_names.request_classes),
            descriptors=descriptors,
            counters=counters,
            streams=streams,
            memory=self._memory,
            kept_headers=protocol.FORWARDED_REQUEST_HEADERS
            | protocol.USED_REQUEST_HEADERS
            | {config.key_header},
            admit=self._fleet.admit if self._fleet is not None else None,
        )
        self._clients = ClientRegistry(services)
        self._client_listener = ClientListener(self._clients, self._upstreams.close_oldest)
        self._admin_listener = AdminListener(self, counters)
        self._serving_state = ServingStateMachine()
        self._handover: Handover | None = None
        self._inherited_listeners: list[socket.socket] = []  # no clients are accepted from them yet
        self._drain_task: asyncio.Task[None] | None = None
        self._endpoints = KnownEndpoints()
        self._ready = False
        self._ready_event = asyncio.Event()
        self._list_failing = False
        self._list_due = asyncio.Event()
        self._shutdown_requested = asyncio.Event()
        self.listening = asyncio.Event()
        self._shutdown: GracefulShutdown | None = None
        self._shutdown_deadline = math.inf
        self._run_timers_call: asyncio.TimerHandle | None = None
        self._address_change_call: asyncio.TimerHandle | None = None
        self._tasks = BackgroundTasks(counters)
        self._engine = BalancerEngine(
            config.balancer, config.setting_names, self.now, self._schedule_timers, time.time
        )
        self._gossip = (
            gossip_socket.GossipSocket(*config.gossip, self._engine.receive_gossip, counters)
            if config.gossip
            else None
        )
        if self._gossip is not None:
            register_gossip_gauges(counters, self._engine)
        register_gauges(counters, self._engine, self._discovery, descriptors, streams)
        counters.gauge("memory_reserved", lambda: self._memory.reserved)
        counters.gauge("memory_resident", resident_bytes)
        counters.gauge("client_connections_max", lambda: descriptors.max_clients)

    def _create_fleet_transport(self, config: NodeConfig) -> FleetTransport:
        # Imported here so that a node without a fleet does not load the fleet's modules into memory.
        from notchjunction.net.fleet_transport import FleetTransport

        assert config.fleet is not None
        balancer = config.balancer
        return FleetTransport(
            config.fleet,
            config.name,
            _max_request_deadline(config),
            balancer.seed,
            balancer.retry_after_max,
            self.counters,
        )

    def _close_oldest_client(self) -> bool:
        return self._client_listener.close_oldest()

    def now(self) -> float:
        """Returns Unix time (s) that advances with the monotonic clock and so never jumps."""
        return time.monotonic() + self._clock_offset

    async def run(self) -> None:
        """Serves clients until `stop` is called and the shutdown has finished."""
        config = self._config
        handlers = {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGUSR1: self._print_counters,
            signal.SIGHUP: self.reload,
        }
        for number, handler in handlers.items():
            self._loop.add_signal_handler(number, handler)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        log.info(
            "start", extra=pairs(node=config.name, listen=text_of(config.listen), tier=config.balancer.tier)
        )
        inherited = await self._join_serving_process()
        if inherited is not None:
            self._apply_inherited_state(inherited)
        else:
            self._client_listener.open(config.listen, shared=config.shared_directory is not None)
        if config.admin_address is not None:
            self._admin_listener.open(config.admin_address)
        if self._gossip is not None:
            await self._gossip.open()
        if self._fleet is not None:
            await self._fleet.open()
        self.listening.set()
        if self._handover is not None:
            self._tasks.start(self._offer_handover())
        if config.cached_list is not None and not self._ready:
            wait = self._list_watch.initial_wait()
            if wait > 0:
                self._tasks.start(self._use_cached_list_later(config.cached_list, wait))
            else:
                self._use_cached_list(config.cached_list)
        self._tasks.start(self._run_commands())
        self._tasks.start(self._follow_list())
        self._tasks.start(self._sweep())
        await self._shutdown_requested.wait()
        await self._run_shutdown()

    def _use_cached_list(self, cached: EndpointList) -> None:
        """Serves with a cached list; resumes the watch from its version if it is a complete snapshot."""
        if cached.is_snapshot:
            self._discovery.resume_from(cached.version)
        self._apply_list(cached, ListUpdate.CACHED)

    async def _use_cached_list_later(self, cached: EndpointList, after: float) -> None:
        """Uses the cached list if discovery has sent none after `after` s; snapshots are polled meanwhile."""
        with suppress(TimeoutError):
            async with asyncio.timeout(after):
                await self._ready_event.wait()
        if not self._ready:
            self._use_cached_list(cached)

    def stop(self) -> None:
        """Starts the graceful shutdown; a second call has no effect."""
        if self._serving_state.handle(ServingEvent.SHUTDOWN_REQUESTED) is ServingAction.SHUT_DOWN:
            # The deadline is set here, not once the shutdown runs. Guards against requests that SIGKILL cuts
            # off when SIGTERM arrives while the node is still starting.
            longest = max(
                (request_class.deadline for request_class in self._config.balancer.request_classes),
                default=math.inf,
            )
            self._shutdown = GracefulShutdown(self.now(), longest)
            self._shutdown_deadline = self._shutdown.deadline
            self._shutdown_requested.set()

    # Handover: other processes of this node.

    async def _join_serving_process(self) -> InheritedState | None:
        config = self._config
        if config.shared_directory is None:
            return None
        identity = ProcessIdentity(config.name, text_of(config.listen))
        self._handover = Handover(
            config.shared_directory, identity, self, self.counters, self._clients.request_ids
        )
        self._clients.claims = self._handover.claims
        return await self._handover.join()

    def _apply_inherited_state(self, inherited: InheritedState) -> None:
        """Applies the serving process's bans, list, learned state and service state; takes its listeners."""
        state = inherited.state
        for endpoint in state.banned:
            self._engine.ban(endpoint, allow_unknown=True)
        try:
            self._engine.restore_start_times(state.start_times)
        except (TypeError, ValueError, AttributeError) as error:
            log.warning("start times not restored", extra=pairs(why=repr(error)))
        with suppress(ListUnavailableError):
            endpoint_list = read_list(state.endpoint_list)
            if endpoint_list.endpoints:
                self._discovery.resume_from(endpoint_list.version)
                self._apply_list(endpoint_list, ListUpdate.CACHED)
        try:
            self._engine.restore_state(state.learned_state)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("learned state not restored", extra=pairs(why=repr(error)))
        if state.out_of_service:
            self._change_serving_state(ServingEvent.TAKEN_OUT_OF_SERVICE)
        self._inherited_listeners = inherited.listeners
        self._tasks.start(self._adopt_when_ready(inherited.listeners))
        log.info(
            "handover received", extra=pairs(endpoints=len(self._endpoints), banned=len(self._engine.banned))
        )

    async def _adopt_when_ready(self, listeners: list[socket.socket]) -> None:
        # Guards against accepting clients before there is a list; until then the other process accepts them.
        await self._ready_event.wait()
        self._inherited_listeners = []
        self._client_listener.adopt(listeners)

    def _adopt_remaining(self) -> None:
        """Adopts the inherited listeners when no other process is left to accept from them.

        Guards against resets for queued clients when this process shuts down before it had a list.
        """
        if self._inherited_listeners and self._handover is not None and not self._handover.peer_count:
            listeners, self._inherited_listeners = self._inherited_listeners, []
            self._client_listener.adopt(listeners)

    async def _offer_handover(self) -> None:
        """Offers the handover to later processes as soon as this one is ready to serve."""
        await self._ready_event.wait()
        assert self._handover is not None
        self._handover.offer()

    def listeners(self) -> list[socket.socket]:
        """Returns the sockets on which the node listens for clients."""
        return self._client_listener.listeners

    def state(self) -> NodeState:
        """Returns what the next process needs to be ready at once."""
        out_of_service = self._serving_state.state in (ServingState.NOT_READY, ServingState.DRAINING)
        version = self._discovery.version
        endpoint_list = None
        if version is not None:
            endpoint_list = {"index": version, "snapshot": True, "endpoints": self._endpoints.rows()}
        banned = sorted(self._engine.banned)
        return NodeState(
            banned=banned,
            out_of_service=out_of_service,
            endpoint_list=endpoint_list,
            start_times=self._engine.start_ages(),
            learned_state=self._engine.export_state(),
        )

    def usage(self) -> ResourceUsage:
        """Returns the descriptors that this process uses and the clients it has."""
        return ResourceUsage(self._descriptors.in_use, self._descriptors.clients)

    def apply_operator_command(self, command: str, value: Any) -> None:
        """Applies a command that an operator sent to another process of the node."""
        match command:
            case OperatorCommand.BAN:
                self._engine.ban(str(value), allow_unknown=True)
            case OperatorCommand.LIFT_BAN:
                self._engine.lift_ban(str(value))
            case OperatorCommand.OUT_OF_SERVICE:
                self._change_serving_state(
                    ServingEvent.TAKEN_OUT_OF_SERVICE if value else ServingEvent.PUT_IN_SERVICE
                )
        self._update_upstreams()

    def peers_changed(self) -> None:
        """Updates the number of processes among which the balancer divides the node's share."""
        assert self._handover is not None
        self._engine.set_process_count(1 + self._handover.peer_count)
        self._memory.set_process_count(1 + self._handover.peer_count)
        self._descriptors.limit_clients(self._memory.max_clients)

    def adopt_stream(self, state: Mapping[str, Any], client: socket.socket, upstream: socket.socket) -> None:
        """Continues a response that another process of the node began to forward."""
        download = self._upstreams.adopt_response(state["answers"], upstream)
        self._clients.adopt_stream(state, client, download)

    def adopt_upload(self, state: Mapping[str, Any], client: socket.socket) -> None:
        """Takes over a client that another process has answered and that still sends its request body."""
        self._clients.adopt_upload(state, client)

    def peer_usage_changed(self) -> None:
        """Updates the descriptors and clients that the node's other processes use of the shared limit."""
        if self._handover is not None:
            reserved = self._handover.peer_count * (BASE_DESCRIPTORS + admin.DESCRIPTORS)
            self._descriptors.other_process = self._handover.peer_usage().descriptors + reserved
            self._descriptors.other_process_clients = self._handover.peer_usage().clients

    async def _send_to_peers(self, command: str, value: Any) -> bool:
        return self._handover is None or await self._handover.send_command(command, value)

    # Admin API.

    def control_ready(self) -> bool:
        """Returns whether the node has a list and is not shutting down."""
        return self._ready and self._serving_state.state is not ServingState.SHUTTING_DOWN

    async def take_offline(self, endpoint: str) -> bool:
        """Bans an endpoint; returns whether it is known and all processes of the node have banned it."""
        is_known = self._engine.ban(endpoint)
        self._update_upstreams()
        return is_known and await self._send_to_peers(OperatorCommand.BAN, endpoint)

    async def bring_online(self, endpoint: str) -> bool:
        """Lifts an endpoint's ban; returns whether it is known and all processes of the node have done so."""
        is_known = self._engine.lift_ban(endpoint)
        self._update_upstreams()
        return is_known and await self._send_to_peers(OperatorCommand.LIFT_BAN, endpoint)

    async def out_of_service(self) -> bool:
        """Takes the node out of service; returns whether all of its processes have done so."""
        return self._change_serving_state(ServingEvent.TAKEN_OUT_OF_SERVICE) and await self._send_to_peers(
            OperatorCommand.OUT_OF_SERVICE, True
        )

    async def in_service(self) -> bool:
        """Puts the node back in service; returns whether all of its processes have done so."""
        return self._change_serving_state(ServingEvent.PUT_IN_SERVICE) and await self._send_to_peers(
            OperatorCommand.OUT_OF_SERVICE, False
        )

    def fleet_figures(self) -> Mapping[str, Any] | None:
        """Returns the state of the fleet as JSON; None for a node without a fleet."""
        return self._fleet.status() if self._fleet is not None else None

    def _change_serving_state(self, event: ServingEvent) -> bool:
        action = self._serving_state.handle(event)
        self.counters.recorder.note(Occurrence.STATE_CHANGED, service=self._serving_state.state.name.lower())
        if action is ServingAction.REPORT_NOT_READY:
            log.info("out of service", extra=pairs(clients=self._client_listener.connected))
            self._clients.drain()
            self._drain_task = asyncio.create_task(self._drain_idle_clients())
        elif action is ServingAction.RESUME:
            log.info("in service", extra=pairs(clients=self._client_listener.connected))
            self._cancel_drain_task()
            self._clients.resume_service()
        return action is not None

    def _cancel_drain_task(self) -> None:
        if self._drain_task is not None:
            self._drain_task.cancel()
            self._drain_task = None

    async def _drain_idle_clients(self) -> None:
        await asyncio.sleep(READINESS_NOTICE_S)
        if self._serving_state.handle(ServingEvent.NOTICE_TIME_OVER) is ServingAction.DRAIN_CLIENTS:
            self._clients.announce_closing()
        while True:
            self._clients.close_idle(MIN_IDLE_S)
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    # Reload and shutdown.

    def reload(self) -> None:
        """Applies discovery and settings of the configuration file; on any error nothing is changed."""
        try:
            config = node_config.reload_config(self._config)
        except (InvalidConfigurationError, OSError, UnicodeDecodeError) as error:
            self.counters.add("reloads_failed")
            for text in error.errors if isinstance(error, InvalidConfigurationError) else [str(error)]:
                log.error("configuration invalid", extra=pairs(why=text))
            return
        self.counters.add("reloads")
        if self._fleet is not None and config.fleet is not None:
            try:
                self._fleet.apply_config(config.fleet, _max_request_deadline(config))
            except NotchjunctionError as error:
                # Guards against applying half of a file: nothing is applied if the fleet rejects its part.
                self.counters.add("reloads_failed")
                log.error("configuration rejected", extra=pairs(why=error))
                return
        before, self._config = self._config, config
        self._engine.apply_settings(config.balancer, config.setting_names)
        self._clients.request_classes = frozenset(config.setting_names.request_classes)
        self._upstreams.apply_settings(
            config.connect_timeout, config.connection_idle_timeout, config.load_path
        )
        after_names, before_names = (
            set(config.setting_names.request_classes),
            set(before.setting_names.request_classes),
        )
        log.info(
            "configuration reloaded",
            extra=pairs(
                discovery=text_of(config.discovery),
                profiles=",".join(config.setting_names.request_classes),
                new=",".join(sorted(after_names - before_names)) or "none",
                gone=",".join(sorted(before_names - after_names)) or "none",
                attempts=config.balancer.max_attempts,
                needs_restart=",".join(node_config.changed_keys(before, config)) or "none",
            ),
        )
        if config.discovery != before.discovery:
            self._schedule_address_change(config.discovery)

    def _schedule_address_change(self, discovery: Address) -> None:
        """Polls the new address after the delay for an address change; replaces an earlier pending change."""
        if self._address_change_call is not None:
            self._address_change_call.cancel()
        delay = self._list_watch.address_change_delay()
        if delay > 0:
            self._address_change_call = self._loop.call_later(
                delay, self._change_discovery_address, discovery
            )
        else:
            self._change_discovery_address(discovery)

    def _change_discovery_address(self, discovery: Address) -> None:
        self._address_change_call = None
        self._discovery.change_address(discovery)
        self._list_due.set()  # also during the backoff of a failed poll: the new address has not failed yet

    async def _run_shutdown(self) -> None:
        log.info(
            "shutdown started",
            extra=pairs(in_flight=self._engine.in_flight, clients=self._client_listener.connected),
        )
        shutdown = self._shutdown
        assert shutdown is not None
        self._cancel_drain_task()
        grace_until = math.inf
        sender: StreamSender | None = None
        is_migrating = False
        while not shutdown.finished:
            handover, now = self._handover, self.now()
            for action in shutdown.next_actions(now, self._has_successor(), self._count_clients):
                self.counters.recorder.note(Occurrence.STATE_CHANGED, ending=action.name.lower())
                match action:
                    case ShutdownAction.REPORT_NOT_READY:
                        self._clients.drain()
                    case ShutdownAction.PAUSE_ACCEPTING:
                        self._client_listener.pause()
                        self._clients.announce_closing()
                        grace_until = now + IDLE_GRACE_S
                    case ShutdownAction.RESUME_ACCEPTING:
                        log.warning("successor lost", extra=pairs(left=shutdown.serve_time_left(now)))
                        self._clients.resume_service()
                        self._client_listener.resume()
                        grace_until = math.inf
                        is_migrating = False
                        if sender is not None:
                            sender.close()
                            sender = None
                            self._clients.stop_migration()
                    case ShutdownAction.CLOSE_LISTENERS:
                        self._adopt_remaining()
                        self._client_listener.stop()
                    case ShutdownAction.DRAIN_CLIENTS:
                        self._clients.announce_closing()
                        grace_until = now + IDLE_GRACE_S
                    case ShutdownAction.MIGRATE_STREAMS:
                        is_migrating = True
                    case ShutdownAction.REJECT_UPLOADS:
                        self._clients.reject_uploads()
            # Guards against responses to slow clients that the end of this process would cut off. If there is
            # no descriptor, or the other process is busy, the next check tries again.
            if is_migrating and sender is None and handover is not None and not shutdown.finished:
                sender = handover.open_stream_sender()
                if sender is not None:
                    self._clients.start_migration(sender)
            if grace_until < math.inf:
                self._clients.close_idle(MIN_IDLE_S if now < grace_until else 0.0)
            if not shutdown.finished:
                await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        if sender is not None:
            sender.close()
        await self._tasks.cancel()
        # Closed first, as admin calls in progress still use the rest; bounded by the final linger time.
        await self._admin_listener.close(
            min(LINGER_FINAL_S, max(0.0, self._shutdown_deadline + LINGER_FINAL_S - self.now()))
        )
        if self._gossip is not None:
            self._gossip.close()
        if self._fleet is not None:
            self._fleet.close()
        if self._handover is not None:
            self._handover.close()
        self._client_listener.close()
        self._discovery.close()
        self._upstreams.close()
        self._print_counters()
        log.info("exit", extra=pairs(in_flight=self._engine.in_flight))

    def _count_clients(self) -> int:
        """Returns the number of connected clients, plus 1 while others are still to be accepted.

        Those are queued clients and migrated streams. When no client is connected, this accepts the streams
        that another process has sent to this one.
        """
        streams_queued = False
        if not self._client_listener.connected and self._handover is not None:
            self._handover.accept_last_streams()
            streams_queued = self._handover.has_queued_streams and not self._clients.final_phase
        # Guards against resets for clients in a queue that found no descriptor while it was being closed.
        return self._client_listener.connected + (self._client_listener.queued or streams_queued)

    def _has_successor(self) -> bool:
        return self._handover is not None and self._handover.has_successor

    def _start_request(
        self, spec: RequestSpec, request: Request, resources: RequestResources
    ) -> RequestHandler:
        # Guards against a request that the end of the process would leave unanswered.
        spec = replace(spec, time_left=min(spec.time_left, self._shutdown_deadline - self.now()))
        if self._config.key_header:
            spec = replace(
                spec, affinity_key=request.headers.get(self._config.key_header, "")[:MAX_AFFINITY_KEY_LENGTH]
            )
        time_left = lambda: self._shutdown_deadline - self.now()  # noqa: E731
        return RequestHandler(
            self._engine, self._upstreams, self.counters, spec, request, resources, time_left
        )

    # Timers.

    def _schedule_timers(self, delay: float) -> None:
        if self._run_timers_call is not None:
            self._run_timers_call.cancel()
        self._run_timers_call = self._loop.call_later(delay, self._run_timers)

    def _run_timers(self) -> None:
        try:
            self._engine.run_due_timers()
        except Exception as error:
            self.counters.add_failure("timer failed", error)

    # Commands of the balancer, probes and the endpoint list.

    async def _run_commands(self) -> None:
        while True:
            match await self._engine.next_node_command():
                case SendProbe(endpoint):
                    self._tasks.start(self._probe(endpoint))
                case PollList():
                    self._list_due.set()
                case SendGossip(peer, payload) if self._gossip is not None:
                    self._gossip.send(peer, payload)
                case ReportEjection(endpoint, seconds):
                    self.counters.add("endpoints_ejected")
                    log.warning("endpoint ejected", extra=pairs(endpoint=endpoint, seconds=round(seconds, 1)))

    async def _probe(self, endpoint: str) -> None:
        outcome = await self._upstreams.probe(endpoint)
        self.counters.add("probes")
        self.counters.add_result("probes", outcome.result)
        self._engine.report_probe(endpoint, outcome)

    async def _follow_list(self) -> None:
        """Polls discovery: whenever a poll is due, one after another until one fails.

        No other task polls, so at most one poll is open.
        """
        while True:
            await self._list_due.wait()
            try:
                while True:
                    update = await self._discovery.next_update()
                    try:
                        self._apply_list(
                            update, ListUpdate.SNAPSHOT if update.is_snapshot else ListUpdate.CHANGES
                        )
                    except Exception:
                        # Guards against losing changes for good when an error of the node's own code stops
                        # them from being applied: the next poll requests them again.
                        self._discovery.version = self._discovery.previous_version
                        raise
                    self.counters.add("list_polls")
                    if self._list_failing:
                        log.info("list recovered", extra=pairs(version=update.version))
                    self._list_failing = False
            except Exception as error:
                # Guards against an extra poll when an earlier backoff ended while this poll was open.
                self._list_due.clear()
                self._record_list_failure(error)
                backoff = self._list_watch.backoff()
                self._loop.call_later(backoff, self._list_due.set)

    def _record_list_failure(self, error: Exception) -> None:
        self.counters.add("list_polls_failed")
        if not self._list_failing:
            log.warning("list poll failed", extra=pairs(why=error))
        self._list_failing = True
        if not isinstance(error, ListUnavailableError):
            # Guards against a watch that ends for good at an error of the node's own code: the error is
            # counted and logged, and polling goes on.
            self.counters.add_failure("list update failed", error)

    def _apply_list(self, update: EndpointList, kind: ListUpdate) -> None:
        kind = ListUpdate.CHANGES if len(self._endpoints) else kind
        changes = self._endpoints.apply(update)
        self._memory.set_endpoint_count(len(self._endpoints))
        self._descriptors.limit_clients(self._memory.max_clients)
        ready = self._update_upstreams()
        self._engine.apply_list_update(kind, changes.endpoints)
        self.counters.recorder.note(
            Occurrence.LIST_APPLIED, version=update.version, changes=len(changes.endpoints), ready=ready
        )
        if not self._ready:
            self._ready = True
            self._ready_event.set()
            log.info("ready", extra=pairs(endpoints=ready, version=update.version))

    def _update_upstreams(self) -> int:
        """Sets the endpoints to which the upstream pool may connect; returns how many there are."""
        ready = self._endpoints.active(self._engine.banned)
        self._upstreams.set_endpoints(ready)
        return len(ready)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._upstreams.close_stale()
            self._clients.request_ids.forget_expired(self.now())

    def _print_counters(self) -> None:
        log.info("counters", extra=pairs(**self.counters.read()))
