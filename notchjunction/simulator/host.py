"""Hosts many instances of the decisions on the bench's wire: ids to indices, milliseconds to seconds."""

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
from notchjunction.simulator.codec import Event, Fields, Reader, WireError, act, write_reply

log = logging.getLogger("notchjunction.simulator.host")


class Instance:
    """One node's Host: what the module asks for becomes lines of the reply."""

    def __init__(self, clock: float, provision: Event) -> None:
        self.rows: list[str] = []
        self._clock = clock
        self._tickets: list[str] = []
        self._jobs: dict[str, int] = {}
        self._servers: list[str] = []
        self._indices: dict[str, int] = {}
        self._tags: dict[int, int] = {}  # servers by the tag of their names
        seed = provision.whole("init_seed")
        self._notes = OutcomeGossip(seed)
        paths = provision.fields
        self._sized = paths.get("weight_kind") in ("nominal", "rough")
        self._load_fields = paths.get("report.fields", "").split(",")
        self._core: RequestBalancer = Balancer(settings.read_settings(seed, paths), self)

    def now(self) -> float:
        return self._clock

    def send_attempt(self, job: int, server: int, within: float) -> None:
        time_out = round(within * 1000, 3)
        self.rows.append(
            act("SEND", ticket=self._tickets[job], server=self._servers[server], within=time_out)
        )

    def cancel_attempt(self, job: int, dispatch: int) -> None:
        self.rows.append(act("RECALL", ticket=self._tickets[job], go=dispatch))

    def send_probe(self, server: int) -> None:
        self.rows.append(act("CHECK", server=self._servers[server]))

    def reject(self, job: int, come_back_in: float) -> None:
        wait = round(come_back_in * 1000, 3)
        self.rows.append(act("OVERLOAD_REPLY", ticket=self._tickets[job], not_before_for=wait))

    def fail(self, job: int) -> None:
        self.rows.append(act("REPORT_FAILURE", ticket=self._tickets[job]))

    def set_timer(self, delay: float, token: int) -> None:
        self.rows.append(act("SET_TIMER", offset=round(delay * 1000, 3), nonce=token))

    def poll_list(self) -> None:
        self.rows.append(act("FOLLOW", enable=1))

    def report_ejection(self, server: int, seconds: float) -> None:
        self.rows.append(act("REMARK", text=f"set aside {self._servers[server]} for {seconds:.1f} s"))

    def send_gossip(self, peer: int, newest: int, told: Sequence[PeerOutcome]) -> None:
        words = [
            OutcomeReport(endpoint_hash(self._servers[each.endpoint]), each.age, each.success, each.seconds)
            for each in told
        ]
        blob = base64.b64encode(self._notes.encode(newest, words)).decode()
        self.rows.append(act("SHARE", target=peer, blob=blob))

    def _hear(self, event: Event) -> None:
        try:
            note = base64.b64decode(event.text("blob"), validate=True)
        except (binascii.Error, ValueError):
            note = b""
        if told := self._notes.peer_outcomes(event.whole("who"), note, self._tags):
            self._core.gossip_received(told)

    def _server(self, name: str) -> int:
        if name not in self._indices:
            self._indices[name] = len(self._servers)
            self._tags[endpoint_hash(name)] = len(self._servers)
            self._servers.append(name)
        return self._indices[name]

    def _entry(self, fields: Fields) -> EndpointEntry:
        event = Event(0, "M", fields)
        return EndpointEntry(
            number=self._server(event.text("server")),
            state=vocabulary.PRESENCES.get(fields.get("availability", ""), EndpointState.DRAINING),
            started_at=event.number("start_time", 0.0) / 1000,
            zone=event.whole("campus", 0),
            deduplication_group=event.whole("bay", 0),
            size=max(event.number("power_hint", 1.0), 0.0) if self._sized else 1.0,
            name_hash=endpoint_hash(fields["server"]),
        )

    def feed(self, clock: float, event: Event, lists: dict[int, list[Fields]]) -> None:
        """Hands one event to the module; events it has no use for are passed over."""
        self._clock = clock
        core = self._core
        if event.name == "JOB_IN":
            self._take(event)
        elif event.name == "FINISHED":
            index = self._jobs.get(event.text("ticket"))
            if index is not None:
                core.attempt_ended(self._outcome(index, event))
        elif event.name == "ELAPSED":
            core.timer_fired(event.whole("nonce"))
        elif event.name == "HEALTH":
            result = vocabulary.RESULTS.get(event.text("code"), AttemptResult.UNKNOWN)
            report = vocabulary.load(self._load_fields, event.fields.get("report"))
            core.probe_ended(self._server(event.text("server")), result, report)
        elif event.name == "UPDATE":
            news = vocabulary.NEWS.get(event.text("scope"))
            if news is ListUpdate.FAILED:
                core.list_updated(news, ())
            elif news is not None:
                bank = event.whole("bank")
                if bank not in lists:
                    raise WireError(f"line {event.line}: UPDATE names list {bank}, which was never sent")
                core.list_updated(news, [self._entry(fields) for fields in lists[bank]])
        elif event.name == "MESSAGE":
            self._hear(event)
        elif event.name in ("WITHDRAWN", "STREAMING"):
            index = self._jobs.get(event.text("ticket"))
            if index is not None and event.name == "WITHDRAWN":
                core.request_cancelled(index)
            elif index is not None:
                core.response_started(index, event.whole("go"))

    def _take(self, event: Event) -> None:
        ticket = event.text("ticket")
        index = len(self._tickets)
        self._tickets.append(ticket)
        self._jobs[ticket] = index
        hint = event.number("size_hint", -1.0)
        self._core.request_arrived(
            NewRequest(
                id=index,
                request_class=event.whole("category", 0),
                tenant=event.whole("customer", 0),
                time_left=event.number("time_left", 0.0) / 1000,
                is_client_retry=event.flag("again_by_client"),
                work_hint=hint / 1000 if hint >= 0 else None,
                affinity_key=event.fields.get("subject", ""),
            )
        )

    def _outcome(self, index: int, event: Event) -> AttemptOutcome:
        return AttemptOutcome(
            request=index,
            attempt=event.whole("go"),
            endpoint=self._server(event.text("server")),
            result=vocabulary.RESULTS.get(event.text("code"), AttemptResult.UNKNOWN),
            seconds=event.number("wait_time", 0.0) / 1000,
            final=event.flag("over"),
            load=vocabulary.load(self._load_fields, event.fields.get("report")),
        )


class SimHost:
    """Routes each batch's events to its instances and gathers their actions."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._lists: dict[int, list[Fields]] = {}

    def serve(self, clock: float, events: list[Event]) -> list[tuple[int, list[str]]]:
        addressed: int | None = None
        touched: dict[int, None] = {}
        for event in events:
            if event.name == "TO":
                addressed = event.whole("node_id")
            elif event.name == "REGISTER":
                self._lists[event.whole("bank")] = event.entries
            elif addressed is None:
                log.warning("line %d: %s for no instance, skipped", event.line, event.name)
            elif event.name == "CRASH_NOW":
                self._instances.pop(addressed, None)
            else:
                touched[addressed] = None
                fault = self._feed(addressed, clock, event)
                if fault is not None:
                    return [(addressed, [fault])]
        replies = [(node, self._instances[node].rows) for node in touched if node in self._instances]
        for node, rows in replies:
            self._instances[node].rows = []
            log.debug("node %d: %d actions", node, len(rows))
        return replies

    def _feed(self, node: int, clock: float, event: Event) -> str | None:
        try:
            if event.name == "PROVISION":
                self._instances[node] = Instance(clock, event)
            elif node in self._instances:
                self._instances[node].feed(clock, event, self._lists)
        except WireError:
            raise
        except Exception as error:
            place = traceback.extract_tb(error.__traceback__)[-1]
            traceback.print_exc(file=sys.stderr)
            where = f"{place.filename.rpartition('/')[2]}:{place.lineno}"
            return act("EXCEPTION", text=f"{type(error).__name__} at {where}: {str(error)[:120]}")
        return None


def main() -> int:
    parser = argparse.ArgumentParser(prog="notchjunction.simulator.host", description=__doc__)
    parser.add_argument("--log-level", default="ERROR", help="of the standard error log (default: ERROR)")
    logging.basicConfig(stream=sys.stderr, level=parser.parse_args().log_level.upper())
    host = SimHost()
    try:
        for batch in Reader(sys.stdin.buffer).batches():
            write_reply(sys.stdout, host.serve(batch.at_ms / 1000, batch.events))
    except WireError as error:
        print(f"notchjunction: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
