"""One node: wires callers, decisions, servers and discovery together; starts, drains and ends."""

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
from notchjunction.net.body_streaming import StreamBuffers, Upload
from notchjunction.net.client_listener import ClientListener
from notchjunction.net.client_registry import LINGER_FINAL_S, ClientRegistry, ClientServices
from notchjunction.net.descriptors import OWN, Descriptors
from notchjunction.net.discovery_client import DiscoveryClient
from notchjunction.net.request_handler import QuotaPermits, RequestHandler
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
from notchjunction.upgrade.shutdown import GracefulShutdown
from notchjunction.upgrade.shutdown import ShutdownAction as Do

if TYPE_CHECKING:
    from notchjunction.net.fleet_transport import FleetTransport

log = logging.getLogger(__name__)

SWEEP_SPAN = 1.0  # s between looks at idle connections; short against the time they may stand idle
LOOK_SPAN = 0.05  # s between looks whether a draining node has answered all
LEAD_SPAN = 0.4  # s from a node's "not ready" until callers are parted with; they come for 0.3 s more
PART_SPAN = 0.6  # s of a drain's end in which callers that have just stood idle are left to part on an answer
KEY_MOST = 128  # characters of a job's key that count; a longer one still goes to its own servers
IDLE_LEAST = 0.5  # s that a caller may stand idle while it is led away: its next request brings its end


def _longest(told: NodeConfig) -> float:
    """s of the longest abandon time."""
    return max((profile.deadline for profile in told.balancer.request_classes), default=0.0)


class Node:
    def __init__(self, told: NodeConfig) -> None:
        self._told = told
        self._offset = time.time() - time.monotonic()
        self._loop = asyncio.get_running_loop()
        self.counters = counters = Counters(self.now)
        kept_back = admin.DESCRIPTORS if told.admin_address else 0
        kept_back += gossip_socket.DESCRIPTORS if told.gossip else 0
        kept_back += gossip_socket.DESCRIPTORS if told.fleet is not None else 0
        self._descriptors = descriptors = Descriptors(told.max_descriptors, kept_back)
        streams = StreamBuffers()
        self._following = ListWatch(
            told.balancer.poll_interval, told.list_is_pushed, told.balancer.seed, told.balancer.node_count
        )
        self._discovery = DiscoveryClient(
            told.discovery, self._following, self.now, self._spare_one, counters.recorder
        )
        self._servers = UpstreamPool(
            self.now,
            told.connect_timeout,
            told.connection_idle_timeout,
            told.load_path,
            self._spare_one,
            descriptors,
            counters,
            streams,
        )
        self._fleet = self._share(told) if told.fleet is not None else None
        services = ClientServices(
            clock=self.now,
            start_request=self._take,
            ready=lambda: self._ready,
            request_classes=frozenset(told.setting_names.request_classes),
            descriptors=descriptors,
            counters=counters,
            streams=streams,
            admit=self._fleet.admit if self._fleet is not None else None,
        )
        self._clients = ClientRegistry(services)
        self._client_listener = ClientListener(self._clients, self._servers.close_oldest)
        self._management = AdminListener(self, counters)
        self._service = ServingStateMachine()
        self._handover: Handover | None = None
        self._inherited: list[socket.socket] = []  # of which nobody is let in yet: there is no list
        self._leading: asyncio.Task[None] | None = None
        self._known = KnownEndpoints()
        self._ready = False
        self._ready_now = asyncio.Event()
        self._list_fails = False
        self._list_due = asyncio.Event()
        self._stopping = asyncio.Event()
        self.listening = asyncio.Event()
        self._ending: GracefulShutdown | None = None
        self._end_at = math.inf
        self._wake_call: asyncio.TimerHandle | None = None
        self._move_call: asyncio.TimerHandle | None = None
        self._tasks = BackgroundTasks(counters)
        self._decider = BalancerEngine(told.balancer, told.setting_names, self.now, self._wake, time.time)
        self._talk = (
            gossip_socket.GossipSocket(*told.gossip, self._decider.receive_gossip, counters)
            if told.gossip
            else None
        )
        if self._talk is not None:
            register_gossip_gauges(counters, self._decider)
        register_gauges(counters, self._decider, self._discovery, descriptors, streams)

    def _share(self, told: NodeConfig) -> FleetTransport:
        # Loaded here and not above: where nothing is shared, nothing of it is in memory.
        from notchjunction.net.fleet_transport import FleetTransport

        assert told.fleet is not None
        terms = told.balancer
        return FleetTransport(
            told.fleet, told.name, _longest(told), terms.seed, terms.retry_after_max, self.counters
        )

    def _spare_one(self) -> bool:
        return self._client_listener.close_oldest()

    def now(self) -> float:
        """Unix time that never jumps."""
        return time.monotonic() + self._offset

    async def run(self) -> None:
        told = self._told
        handlers = {
            signal.SIGTERM: self.stop,
            signal.SIGINT: self.stop,
            signal.SIGUSR1: self._print_counters,
            signal.SIGHUP: self.read_again,
        }
        for number, handler in handlers.items():
            self._loop.add_signal_handler(number, handler)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        log.info("start", extra=pairs(node=told.name, listen=text_of(told.listen), tier=told.balancer.tier))
        inherited = await self._join()
        if inherited is not None:
            self._inherit(inherited)
        else:
            self._client_listener.open(told.listen, shared=told.shared_directory is not None)
        if told.admin_address is not None:
            self._management.open(told.admin_address)
        if self._talk is not None:
            await self._talk.open()
        if self._fleet is not None:
            await self._fleet.open()
        self.listening.set()
        if self._handover is not None:
            self._tasks.start(self._offer())
        if told.cached_list is not None and not self._ready:
            first = self._following.initial_wait()
            if first > 0:
                self._tasks.start(self._go_by_late(told.cached_list, first))
            else:
                self._go_by(told.cached_list)
        self._tasks.start(self._run_errands())
        self._tasks.start(self._follow_list())
        self._tasks.start(self._sweep())
        await self._stopping.wait()
        await self._drain()

    def _go_by(self, known: EndpointList) -> None:
        """Serves by the remembered list, and asks for what came after it; for all, where it is not whole."""
        if known.is_snapshot:
            self._discovery.resume_from(known.version)
        self._hear(known, ListUpdate.CACHED)

    async def _go_by_late(self, known: EndpointList, after: float) -> None:
        """The same where the agent says nothing for so long; until then the whole list is asked for."""
        with suppress(TimeoutError):
            async with asyncio.timeout(after):
                await self._ready_now.wait()
        if not self._ready:
            self._go_by(known)

    def stop(self) -> None:
        """Begins the drain; a second call changes nothing."""
        if self._service.handle(ServingEvent.SHUTDOWN_REQUESTED) is ServingAction.SHUT_DOWN:
            # Not in the drain. Guards against jobs that the kill cuts off where the start is not over.
            longest = max(
                (profile.deadline for profile in self._told.balancer.request_classes), default=math.inf
            )
            self._ending = GracefulShutdown(self.now(), longest)
            self._end_at = self._ending.deadline
            self._stopping.set()

    # Another process of this node, before or after this one.

    async def _join(self) -> InheritedState | None:
        told = self._told
        if told.shared_directory is None:
            return None
        identity = ProcessIdentity(told.name, text_of(told.listen))
        self._handover = Handover(told.shared_directory, identity, self, self.counters)
        return await self._handover.join()

    def _inherit(self, inherited: InheritedState) -> None:
        """Goes on where the serving process stands: its list, operators' word, and then its callers."""
        state = inherited.state
        for server in state.banned:
            self._decider.ban(server, allow_unknown=True)
        try:
            self._decider.restore_start_times(state.start_times)
        except (TypeError, ValueError, AttributeError) as error:
            log.warning("start times not restored", extra=pairs(why=repr(error)))
        with suppress(ListUnavailableError):
            known = read_list(state.endpoint_list)
            if known.endpoints:
                self._discovery.resume_from(known.version)
                self._hear(known, ListUpdate.CACHED)
        try:
            self._decider.restore_state(state.learned_state)
        except (KeyError, TypeError, ValueError) as error:
            log.warning("learned state not restored", extra=pairs(why=repr(error)))
        if state.out_of_service:
            self._led(ServingEvent.TAKEN_OUT_OF_SERVICE)
        self._inherited = inherited.listeners
        self._tasks.start(self._adopt(inherited.listeners))
        log.info(
            "handover received", extra=pairs(endpoints=len(self._known), banned=len(self._decider.banned))
        )

    async def _adopt(self, listeners: list[socket.socket]) -> None:
        # Guards against letting in callers for whom there is no list yet; the other process has them.
        await self._ready_now.wait()
        self._inherited = []
        self._client_listener.adopt(listeners)

    def _adopt_last(self) -> None:
        """Guards against resets for who waits where the end comes before a list, and the other has gone."""
        if self._inherited and self._handover is not None and not self._handover.peer_count:
            listeners, self._inherited = self._inherited, []
            self._client_listener.adopt(listeners)

    async def _offer(self) -> None:
        """The next process is sent to this one as soon as it can serve."""
        await self._ready_now.wait()
        assert self._handover is not None
        self._handover.offer()

    def listeners(self) -> list[socket.socket]:
        return self._client_listener.listeners

    def state(self) -> NodeState:
        out = self._service.state in (ServingState.NOT_READY, ServingState.DRAINING)
        version = self._discovery.version
        listed = None
        if version is not None:
            listed = {"index": version, "snapshot": True, "endpoints": self._known.rows()}
        barred = sorted(self._decider.banned)
        return NodeState(
            banned=barred,
            out_of_service=out,
            endpoint_list=listed,
            start_times=self._decider.start_ages(),
            learned_state=self._decider.export_state(),
        )

    def usage(self) -> ResourceUsage:
        return ResourceUsage(self._descriptors.held, self._descriptors.callers)

    def apply_operator_command(self, word: str, value: Any) -> None:
        """An operator's word to the other process, which is word to the node."""
        match word:
            case OperatorCommand.BAN:
                self._decider.ban(str(value), allow_unknown=True)
            case OperatorCommand.LIFT_BAN:
                self._decider.lift_ban(str(value))
            case OperatorCommand.OUT_OF_SERVICE:
                self._led(ServingEvent.TAKEN_OUT_OF_SERVICE if value else ServingEvent.PUT_IN_SERVICE)
        self._point()

    def peers_changed(self) -> None:
        assert self._handover is not None
        self._decider.set_process_count(1 + self._handover.peer_count)

    def adopt_stream(self, state: Mapping[str, Any], caller: socket.socket, server: socket.socket) -> None:
        """An answer that the process before this one began to pass on."""
        download = self._servers.adopt(state["answers"], server)
        self._clients.adopt_stream(state, caller, download)

    def adopt_upload(self, state: Mapping[str, Any], caller: socket.socket) -> None:
        """A caller whose job the process before this one has answered, and whose body still comes."""
        self._clients.adopt_upload(state, caller)

    def peer_usage_changed(self) -> None:
        if self._handover is not None:
            others = self._handover.peer_count * (OWN + admin.DESCRIPTORS)
            self._descriptors.elsewhere = self._handover.peer_usage().descriptors + others
            self._descriptors.callers_elsewhere = self._handover.peer_usage().clients

    async def _tell_others(self, word: str, value: Any) -> bool:
        return self._handover is None or await self._handover.send_command(word, value)

    # What operators ask.

    def control_ready(self) -> bool:
        return self._ready and self._service.state is not ServingState.SHUTTING_DOWN

    async def take_offline(self, server: str) -> bool:
        known = self._decider.ban(server)
        self._point()
        return known and await self._tell_others(OperatorCommand.BAN, server)

    async def bring_online(self, server: str) -> bool:
        known = self._decider.lift_ban(server)
        self._point()
        return known and await self._tell_others(OperatorCommand.LIFT_BAN, server)

    async def out_of_service(self) -> bool:
        return self._led(ServingEvent.TAKEN_OUT_OF_SERVICE) and await self._tell_others(
            OperatorCommand.OUT_OF_SERVICE, True
        )

    async def in_service(self) -> bool:
        return self._led(ServingEvent.PUT_IN_SERVICE) and await self._tell_others(
            OperatorCommand.OUT_OF_SERVICE, False
        )

    def fleet_figures(self) -> Mapping[str, Any] | None:
        return self._fleet.figures() if self._fleet is not None else None

    def _led(self, event: ServingEvent) -> bool:
        effect = self._service.handle(event)
        self.counters.recorder.note(Occurrence.STATE_CHANGED, service=self._service.state.name.lower())
        if effect is ServingAction.REPORT_NOT_READY:
            log.info("out of service", extra=pairs(clients=self._client_listener.connected))
            self._clients.drain()
            self._leading = asyncio.create_task(self._lead_away())
        elif effect is ServingAction.RESUME:
            log.info("in service", extra=pairs(clients=self._client_listener.connected))
            self._stop_leading()
            self._clients.resume_service()
        return effect is not None

    def _stop_leading(self) -> None:
        if self._leading is not None:
            self._leading.cancel()
            self._leading = None

    async def _lead_away(self) -> None:
        await asyncio.sleep(LEAD_SPAN)
        if self._service.handle(ServingEvent.NOTICE_TIME_OVER) is ServingAction.DRAIN_CLIENTS:
            self._clients.announce_closing()
        while True:
            self._clients.close_idle(IDLE_LEAST)
            await asyncio.sleep(LOOK_SPAN)

    # Configuration and end.

    def read_again(self) -> None:
        """Takes the file's discovery and settings, whole; where anything is wrong, all stays as it was."""
        try:
            told = node_config.reload_config(self._told)
        except (InvalidConfigurationError, OSError, UnicodeDecodeError) as error:
            self.counters.add("reloads_failed")
            for each in error.errors if isinstance(error, InvalidConfigurationError) else [str(error)]:
                log.error("configuration invalid", extra=pairs(why=each))
            return
        self.counters.add("reloads")
        if self._fleet is not None and told.fleet is not None:
            try:
                self._fleet.renew(told.fleet, _longest(told))
            except NotchjunctionError as error:
                # Guards against half a file: what the fleet can't take yet keeps all of it out.
                self.counters.add("reloads_failed")
                log.error("configuration rejected", extra=pairs(why=error))
                return
        before, self._told = self._told, told
        self._decider.apply_settings(told.balancer, told.setting_names)
        self._clients.request_classes = frozenset(told.setting_names.request_classes)
        self._servers.retune(told.connect_timeout, told.connection_idle_timeout, told.load_path)
        found, had = set(told.setting_names.request_classes), set(before.setting_names.request_classes)
        log.info(
            "configuration reloaded",
            extra=pairs(
                discovery=text_of(told.discovery),
                profiles=",".join(told.setting_names.request_classes),
                new=",".join(sorted(found - had)) or "none",
                gone=",".join(sorted(had - found)) or "none",
                attempts=told.balancer.max_attempts,
                needs_restart=",".join(node_config.changed(before, told)) or "none",
            ),
        )
        if told.discovery != before.discovery:
            self._move_soon(told.discovery)

    def _move_soon(self, discovery: Address) -> None:
        """The list is asked for there from soon on; a later word takes the place of an earlier one."""
        if self._move_call is not None:
            self._move_call.cancel()
        pause = self._following.address_change_delay()
        if pause > 0:
            self._move_call = self._loop.call_later(pause, self._move, discovery)
        else:
            self._move(discovery)

    def _move(self, discovery: Address) -> None:
        self._move_call = None
        self._discovery.change_address(discovery)
        self._list_due.set()  # at once, also in a failed call's pause: a new place has not failed

    async def _drain(self) -> None:
        log.info(
            "shutdown started",
            extra=pairs(in_flight=self._decider.in_flight, clients=self._client_listener.connected),
        )
        ending = self._ending
        assert ending is not None
        self._stop_leading()
        part_until = math.inf
        giver: StreamSender | None = None
        moves = False
        while not ending.finished:
            handover, now = self._handover, self.now()
            for effect in ending.next_actions(now, self._followed(), self._connected):
                self.counters.recorder.note(Occurrence.STATE_CHANGED, ending=effect.name.lower())
                match effect:
                    case Do.REPORT_NOT_READY:
                        self._clients.drain()
                    case Do.PAUSE_ACCEPTING:
                        self._client_listener.pause()
                        self._clients.announce_closing()
                        part_until = now + PART_SPAN
                    case Do.RESUME_ACCEPTING:
                        log.warning("successor lost", extra=pairs(left=ending.serve_time_left(now)))
                        self._clients.resume_service()
                        self._client_listener.resume()
                        part_until = math.inf
                        moves = False
                        if giver is not None:
                            giver.close()
                            giver = None
                            self._clients.stop_migration()
                    case Do.CLOSE_LISTENERS:
                        self._adopt_last()
                        self._client_listener.stop()
                    case Do.DRAIN_CLIENTS:
                        self._clients.announce_closing()
                        part_until = now + PART_SPAN
                    case Do.MIGRATE_STREAMS:
                        moves = True
                    case Do.REJECT_UPLOADS:
                        self._clients.reject_uploads()
            # Guards against answers to slow readers that the end of this process would cut off; where no
            # descriptor is left, or the other process is busy, it is tried again at the next look.
            if moves and giver is None and handover is not None and not ending.finished:
                giver = handover.open_stream_sender()
                if giver is not None:
                    self._clients.start_migration(giver)
            if part_until < math.inf:
                self._clients.close_idle(IDLE_LEAST if now < part_until else 0.0)
            if not ending.finished:
                await asyncio.sleep(LOOK_SPAN)
        if giver is not None:
            giver.close()
        await self._tasks.cancel()
        # While what operators ask about is there yet, but no longer than callers are read from at the end.
        await self._management.close(
            min(LINGER_FINAL_S, max(0.0, self._end_at + LINGER_FINAL_S - self.now()))
        )
        if self._talk is not None:
            self._talk.close()
        if self._fleet is not None:
            self._fleet.close()
        if self._handover is not None:
            self._handover.close()
        self._client_listener.close()
        self._discovery.close()
        self._servers.close()
        self._print_counters()
        log.info("exit", extra=pairs(in_flight=self._decider.in_flight))

    def _connected(self) -> int:
        """Callers, and whom another process of the node has given to this one; asked before it ends."""
        given = False
        if not self._client_listener.connected and self._handover is not None:
            self._handover.accept_last_streams()
            given = self._handover.has_queued_streams and not self._clients.final_phase
        # Guards against a reset for each in a queue where there was no descriptor for them as it closed.
        return self._client_listener.connected + (self._client_listener.queued or given)

    def _followed(self) -> bool:
        return self._handover is not None and self._handover.has_successor

    def _take(
        self, ask: RequestSpec, request: Request, upload: Upload | None, rights: QuotaPermits | None
    ) -> RequestHandler:
        # Guards against a job that the end of the node would leave unanswered.
        ask = replace(ask, time_left=min(ask.time_left, self._end_at - self.now()))
        if self._told.key_header:
            ask = replace(ask, affinity_key=request.headers.get(self._told.key_header, "")[:KEY_MOST])
        left = lambda: self._end_at - self.now()  # noqa: E731
        return RequestHandler(self._decider, self._servers, self.counters, ask, request, upload, left, rights)

    # Timers.

    def _wake(self, delay: float) -> None:
        if self._wake_call is not None:
            self._wake_call.cancel()
        self._wake_call = self._loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        try:
            self._decider.run_due_timers()
        except Exception as error:
            self.counters.add_failure("timer failed", error)

    # Errands.

    async def _run_errands(self) -> None:
        while True:
            match await self._decider.next_node_command():
                case SendProbe(server):
                    self._tasks.start(self._probe(server))
                case PollList():
                    self._list_due.set()
                case SendGossip(peer, note) if self._talk is not None:
                    self._talk.send(peer, note)
                case ReportEjection(server, seconds):
                    self.counters.add("endpoints_ejected")
                    log.warning("endpoint ejected", extra=pairs(endpoint=server, seconds=round(seconds, 1)))

    async def _probe(self, server: str) -> None:
        ended = await self._servers.probe(server)
        self.counters.add("probes")
        self.counters.add_result("probes", ended.result)
        self._decider.report_probe(server, ended)

    async def _follow_list(self) -> None:
        """The one owner of calls to discovery: when one is due, again and again until one fails."""
        while True:
            await self._list_due.wait()
            try:
                while True:
                    news = await self._discovery.next_update()
                    try:
                        self._hear(news, ListUpdate.SNAPSHOT if news.is_snapshot else ListUpdate.CHANGES)
                    except Exception:
                        # Guards against changes lost for good where the node's own code fails at them.
                        self._discovery.version = self._discovery.previous_version
                        raise
                    self.counters.add("list_polls")
                    if self._list_fails:
                        log.info("list recovered", extra=pairs(version=news.version))
                    self._list_fails = False
            except Exception as error:
                # Guards against a second call for an earlier pause, which ran out while this one went on.
                self._list_due.clear()
                self._list_failed(error)
                pause = self._following.backoff()
                self._loop.call_later(pause, self._list_due.set)

    def _list_failed(self, error: Exception) -> None:
        self.counters.add("list_polls_failed")
        if not self._list_fails:
            log.warning("list poll failed", extra=pairs(why=error))
        self._list_fails = True
        if not isinstance(error, ListUnavailableError):
            # Guards against a node that never asks for the list again after one failure of its own.
            self.counters.add_failure("list update failed", error)

    def _hear(self, news: EndpointList, kind: ListUpdate) -> None:
        kind = ListUpdate.CHANGES if len(self._known) else kind
        new = self._known.apply(news)
        ready = self._point()
        self._decider.apply_list_update(kind, new.endpoints)
        self.counters.recorder.note(
            Occurrence.LIST_APPLIED, version=news.version, changes=len(new.endpoints), ready=ready
        )
        if not self._ready:
            self._ready = True
            self._ready_now.set()
            log.info("ready", extra=pairs(endpoints=ready, version=news.version))

    def _point(self) -> int:
        """Shows the connections' owner who may get anything new."""
        ready = self._known.active(self._decider.banned)
        self._servers.point(ready)
        return len(ready)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_SPAN)
            self._servers.sweep()

    def _print_counters(self) -> None:
        log.info("counters", extra=pairs(**self.counters.read()))
