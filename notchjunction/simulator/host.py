"""Runs the balancers of many simulated nodes, controlled by the simulator over a line protocol.

Events are read from standard input, and the nodes' actions are written to standard output. Tickets and
server names are converted to the balancer's numbers, and milliseconds to seconds.
"""

from __future__ import annotations

import argparse
import base64
import binascii
import logging
import sys
import traceback
from collections.abc import Sequence

from notchjunction.balancing.balancer import Balancer
from notchjunction.balancing.interface import (
    AttemptOutcome,
    AttemptResult,
    EndpointEntry,
    ListUpdate,
    NewRequest,
    PeerOutcome,
    RequestBalancer,
)
from notchjunction.balancing.outcome_gossip import OutcomeGossip, OutcomeReport, endpoint_hash
from notchjunction.config import settings
from notchjunction.discovery.endpoints import EndpointState
from notchjunction.simulator import vocabulary
from notchjunction.simulator.codec import Event, Fields, Reader, WireError, format_action, write_reply

log = logging.getLogger("notchjunction.simulator.host")


class Instance:
    """The balancer of one simulated node, and its host: its commands become lines of the reply."""

    def __init__(self, now: float, provision: Event) -> None:
        self.rows: list[str] = []
        self._now = now
        self._tickets: list[str] = []  # by request number
        self._request_numbers: dict[str, int] = {}  # by ticket
        self._endpoint_names: list[str] = []  # by endpoint number
        self._endpoint_numbers: dict[str, int] = {}
        self._numbers_by_name_hash: dict[int, int] = {}
        seed = provision.integer("init_seed")
        self._gossip = OutcomeGossip(seed)
        setting_fields = provision.fields
        self._has_endpoint_sizes = setting_fields.get("weight_kind") in ("nominal", "rough")
        self._load_fields = setting_fields.get("report.fields", "").split(",")
        self._balancer: RequestBalancer = Balancer(settings.read_settings(seed, setting_fields), self)

    def now(self) -> float:
        """Return the simulated time (s)."""
        return self._now

    def send_attempt(self, request: int, endpoint: int, timeout: float) -> None:
        """Send the request to an endpoint, with a timeout in seconds."""
        timeout_ms = round(timeout * 1000, 3)
        self.rows.append(
            format_action(
                "SEND",
                ticket=self._tickets[request],
                server=self._endpoint_names[endpoint],
                within=timeout_ms,
            )
        )

    def cancel_attempt(self, request: int, attempt: int) -> None:
        """Cancel an attempt in flight."""
        self.rows.append(format_action("RECALL", ticket=self._tickets[request], go=attempt))

    def send_probe(self, endpoint: int) -> None:
        """Probe an endpoint."""
        self.rows.append(format_action("CHECK", server=self._endpoint_names[endpoint]))

    def reject(self, request: int, retry_after: float) -> None:
        """Reject the request; the client may retry after `retry_after` seconds."""
        retry_after_ms = round(retry_after * 1000, 3)
        self.rows.append(
            format_action("OVERLOAD_REPLY", ticket=self._tickets[request], not_before_for=retry_after_ms)
        )

    def fail(self, request: int) -> None:
        """Fail the request: a retry by the client is not safe."""
        self.rows.append(format_action("REPORT_FAILURE", ticket=self._tickets[request]))

    def set_timer(self, delay: float, token: int) -> None:
        """Start a timer that fires after `delay` seconds."""
        self.rows.append(format_action("SET_TIMER", offset=round(delay * 1000, 3), nonce=token))

    def poll_list(self) -> None:
        """Poll the endpoint list."""
        self.rows.append(format_action("FOLLOW", enable=1))

    def report_ejection(self, endpoint: int, seconds: float) -> None:
        """Report that an endpoint was ejected for `seconds`."""
        self.rows.append(
            format_action("REMARK", text=f"set aside {self._endpoint_names[endpoint]} for {seconds:.1f} s")
        )

    def send_gossip(self, peer: int, newest: int, outcomes: Sequence[PeerOutcome]) -> None:
        """Send outcomes to a peer, newest first; `newest` is the number of the first."""
        reports = [
            OutcomeReport(
                endpoint_hash(self._endpoint_names[outcome.endpoint]),
                outcome.age,
                outcome.success,
                outcome.seconds,
            )
            for outcome in outcomes
        ]
        blob = base64.b64encode(self._gossip.encode(newest, reports)).decode()
        self.rows.append(format_action("SHARE", target=peer, blob=blob))

    def _receive_gossip(self, event: Event) -> None:
        try:
            datagram = base64.b64decode(event.text("blob"), validate=True)
        except (binascii.Error, ValueError):
            datagram = b""
        if outcomes := self._gossip.peer_outcomes(event.integer("who"), datagram, self._numbers_by_name_hash):
            self._balancer.gossip_received(outcomes)

    def _endpoint_number(self, name: str) -> int:
        """Return the number of an endpoint; a name that is new gets the next one."""
        if name not in self._endpoint_numbers:
            self._endpoint_numbers[name] = len(self._endpoint_names)
            self._numbers_by_name_hash[endpoint_hash(name)] = len(self._endpoint_names)
            self._endpoint_names.append(name)
        return self._endpoint_numbers[name]

    def _to_endpoint_entry(self, fields: Fields) -> EndpointEntry:
        event = Event(0, "M", fields)
        return EndpointEntry(
            number=self._endpoint_number(event.text("server")),
            state=vocabulary.ENDPOINT_STATES.get(fields.get("availability", ""), EndpointState.DRAINING),
            started_at=event.number("start_time", 0.0) / 1000,
            zone=event.integer("campus", 0),
            deduplication_group=event.integer("bay", 0),
            size=max(event.number("power_hint", 1.0), 0.0) if self._has_endpoint_sizes else 1.0,
            name_hash=endpoint_hash(fields["server"]),
        )

    def handle_event(self, now: float, event: Event, lists: dict[int, list[Fields]]) -> None:
        """Pass an event to the balancer; unknown events and unknown tickets are ignored.

        Args:
            now: the simulated time (s).
            event: the event.
            lists: the registered endpoint lists, by their numbers.
        """
        self._now = now
        balancer = self._balancer
        if event.name == "JOB_IN":
            self._submit_request(event)
        elif event.name == "FINISHED":
            request_number = self._request_numbers.get(event.text("ticket"))
            if request_number is not None:
                balancer.attempt_ended(self._attempt_outcome(request_number, event))
        elif event.name == "ELAPSED":
            balancer.timer_fired(event.integer("nonce"))
        elif event.name == "HEALTH":
            result = vocabulary.RESULTS.get(event.text("code"), AttemptResult.UNKNOWN)
            load = vocabulary.read_load_report(self._load_fields, event.fields.get("report"))
            balancer.probe_ended(self._endpoint_number(event.text("server")), result, load)
        elif event.name == "UPDATE":
            update = vocabulary.LIST_UPDATES.get(event.text("scope"))
            if update is ListUpdate.FAILED:
                balancer.list_updated(update, ())
            elif update is not None:
                list_number = event.integer("bank")
                if list_number not in lists:
                    raise WireError(
                        f"line {event.line}: UPDATE refers to list {list_number}, which was not registered"
                    )
                balancer.list_updated(
                    update, [self._to_endpoint_entry(fields) for fields in lists[list_number]]
                )
        elif event.name == "MESSAGE":
            self._receive_gossip(event)
        elif event.name in ("WITHDRAWN", "STREAMING"):
            request_number = self._request_numbers.get(event.text("ticket"))
            if request_number is not None and event.name == "WITHDRAWN":
                balancer.request_cancelled(request_number)
            elif request_number is not None:
                balancer.response_started(request_number, event.integer("go"))

    def _submit_request(self, event: Event) -> None:
        ticket = event.text("ticket")
        request_number = len(self._tickets)
        self._tickets.append(ticket)
        self._request_numbers[ticket] = request_number
        work_hint_ms = event.number("size_hint", -1.0)
        self._balancer.request_arrived(
            NewRequest(
                id=request_number,
                request_class=event.integer("category", 0),
                tenant=event.integer("customer", 0),
                time_left=event.number("time_left", 0.0) / 1000,
                is_client_retry=event.flag("again_by_client"),
                work_hint=work_hint_ms / 1000 if work_hint_ms >= 0 else None,
                affinity_key=event.fields.get("subject", ""),
            )
        )

    def _attempt_outcome(self, request_number: int, event: Event) -> AttemptOutcome:
        return AttemptOutcome(
            request=request_number,
            attempt=event.integer("go"),
            endpoint=self._endpoint_number(event.text("server")),
            result=vocabulary.RESULTS.get(event.text("code"), AttemptResult.UNKNOWN),
            seconds=event.number("wait_time", 0.0) / 1000,
            final=event.flag("over"),
            load=vocabulary.read_load_report(self._load_fields, event.fields.get("report")),
        )


class SimHost:
    """Passes the events of each batch to the nodes that they are for, and collects the nodes' actions."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, list[Fields]] = {}

    def serve(self, now: float, events: list[Event]) -> list[tuple[int, list[str]]]:
        """Process the events of a batch at a simulated time (s).

        Returns:
            The actions of each node that got an event. If a node raised an error, only its EXCEPTION.
        """
        current_node: int | None = None
        nodes_with_events: dict[int, None] = {}
        for event in events:
            if event.name == "TO":
                current_node = event.integer("node_id")
            elif event.name == "REGISTER":
                self._lists[event.integer("bank")] = event.entries
            elif current_node is None:
                log.warning("line %d: %s before any TO, skipped", event.line, event.name)
            elif event.name == "CRASH_NOW":
                self._instances.pop(current_node, None)
            else:
                nodes_with_events[current_node] = None
                exception_line = self._handle_event(current_node, now, event)
                if exception_line is not None:
                    return [(current_node, [exception_line])]
        replies = [
            (node, self._instances[node].rows) for node in nodes_with_events if node in self._instances
        ]
        for node, rows in replies:
            self._instances[node].rows = []
            log.debug("node %d: %d actions", node, len(rows))
        return replies

    def _handle_event(self, node: int, now: float, event: Event) -> str | None:
        """Pass an event to its node; return the line of an EXCEPTION if the node raised an error."""
        try:
            if event.name == "PROVISION":
                self._instances[node] = Instance(now, event)
            elif node in self._instances:
                self._instances[node].handle_event(now, event, self._lists)
        except WireError:
            raise
        except Exception as error:
            frame = traceback.extract_tb(error.__traceback__)[-1]
            traceback.print_exc(file=sys.stderr)
            location = f"{frame.filename.rpartition('/')[2]}:{frame.lineno}"
            return format_action(
                "EXCEPTION", text=f"{type(error).__name__} at {location}: {str(error)[:120]}"
            )
        return None


def main() -> int:
    """Serve the simulator until its input ends; return the exit status, 2 for malformed input."""
    parser = argparse.ArgumentParser(prog="notchjunction.simulator.host", description=__doc__)
    parser.add_argument(
        "--log-level", default="ERROR", help="level of the log on standard error (default: ERROR)"
    )
    logging.basicConfig(stream=sys.stderr, level=parser.parse_args().log_level.upper())
    host = SimHost()
    try:
        for batch in Reader(sys.stdin.buffer).batches():
            write_reply(sys.stdout, host.serve(batch.time_ms / 1000, batch.events))
    except WireError as error:
        print(f"notchjunction: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
