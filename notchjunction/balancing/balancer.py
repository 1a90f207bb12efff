"""Every decision of notchjunction, for one node.

A host (see `Host` and `Decisions` in interface.py) builds one `Balancer` from the `Terms` it was given and
calls it for each thing that happens: `take`, `outcome`, `streaming`, `withdrawn`, `probed`, `timer`,
`listed`, `barred`, `retuned`. It answers through the host: `dispatch`, `recall`, `probe`, `turn_back`, ...
Each happening becomes an input to a job; TABLE says, by the job's state, what is done; `_step` reads it.
The design is error ownership on one hop and a probe pool: see docs/design.md.
"""

from __future__ import annotations

import math
from bisect import insort
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from notchjunction.balancing.interface import (
    Effect,
    Group,
    Host,
    Job,
    Load,
    News,
    Outcome,
    Profile,
    Result,
    ServerEntry,
    Terms,
    Told,
)
from notchjunction.balancing.records import LAST_FEW, Dispatch, End, Held, Input, Server, State, Usual, middle
from notchjunction.balancing.throughput import Clearing, Take
from notchjunction.discovery.endpoints import Presence
from notchjunction.discovery.watch_state import renewal_pause

# Constants: unit, and why this size.
RETRY_SHARE = 0.2  # retries per first send; the design's upper bound, rounded down, no floor
RETRY_SPAN = 10.0  # s over which that share holds; the design's bound, long enough for nodes with few jobs
PROBE_EVERY = 5  # first sends a probe; twice the design's least, so that two fresh answers are the usual case
FAMILIAR = 12  # servers a node keeps connections to where they are priced; enough to find two that are free
PROBE_SPAN = 2.5  # s between probes without sends; half the design's most, to survive one lost answer
USUAL_SPAN = 0.1  # s for which the fleet's usual figures stand; short against any trouble
FRESH_SPAN = 10.0  # s an answer counts; the weight of an old one is small long before
POOL_MOST = 48  # newest answers that are looked at; bounds the work of a pick, however large the fleet
LOOKS_MOST = 32  # random looks for two servers that fit, before all are gone through
POOL_SHARE = 0.34  # of the fresh answers, the best, that make up the pool; random enough against herds
WAIT_NOISE = 2.0  # times the usual seconds that a probe may take by chance, as on a new connection
WAIT_TIMES = 4.0  # times the usual past which its server counts as slow; past chance and unequal machines
WAIT_PART = 0.05  # of a job's usual time; a probe that takes less tells of nothing that harms one
WAIT_SPAN = 3.0  # s that such a probe counts; time to rest, and about the time between two probes of a server
LAST_ALL = 64  # outcomes kept of all servers together; what is usual, in a second or a few of traffic
HEALTH_GAP = 0.35  # share of successes by which a server must trail the others; under it is chance in eight
ASIDE_SPAN = 2.0  # s set aside at least; short against troubles of many seconds, long against a blip
ASIDE_RANDOM = 2.0  # s more at most, at random, so that nodes do not return together
ASIDE_MOST = 0.5  # share of ready servers set aside at most; more failing is a trouble common to all
HOLD_SHARE = 0.5  # of the contract time that jobs out may take to clear; the rest is slack for chance
YOUNG_SHARE = 0.75  # of the contract time after which a dispatch counts as stuck and takes up no room
TURN_SPAN = 0.05  # s between looks at waiting jobs without an outcome; short against any contract time
WAIT_SHARE = 0.25  # of the contract time that a job may expect to wait at the node
CALM_TIMES = 2.5  # times the calmest middle time that jobs out may take to clear; past it servers only queue
FLOOR_EACH = 6.0  # jobs that all nodes send an able server before anything is learned: a small machine's
FLOOR_CALM = 9.0  # the same while answers come in calm times; servers that do well hold more
CROWD_SHARE = 0.35  # of the contract time that the middle job may take; a few times that, and many are late
SERVER_SPREAD = 2.0  # times an even share of the node's jobs that one server may hold; unequal machines
OVERDUE_TIMES = 8.0  # times the usual seconds before a second copy; rarer than a large job on a sound server
OVERDUE_SHARE = 0.5  # of the contract time at most, beside clients; the rest is for the next server
PATIENCE = 4.0  # times the usual seconds before a dispatch counts as unanswered; jobs differ in size
SILENT_MOST = 0.5  # share of ready servers passed over as silent at most; more is a trouble common to all
COLD_CARE = 0.6  # of the cold budget used; jobs differ in size, servers in speed, and nodes may coincide
COLD_SPAN = 3.0  # s in which all nodes together may send a warm server one job, whatever they learned
COLD_SPREAD = 0.25  # of a send, at random, by which nodes wait more or less, so as not to fall in step
NEAR_WORTH = 20.0  # times the far server's score, for a crossing price of 1, that a near one may be worse
NEAR_SPARE = 0.5  # of an even share of own jobs out that does not count against a near server; it is chance
GUARD_TICKS = 2  # host ticks before the abandon time at which the last answer is given
KEY_SERVERS = 2  # that a key goes to first; more would share what one remembers, one alone may be hot
KEY_SLACK = 2.5  # times the pool's choice that one of them may score; a met key takes far less work
TOLD_MOST = 12  # last outcomes of its own that a node tells with each; each is told to about so many peers
TOLD_SPAN = 10.0  # s that an outcome is worth telling; older ones are of another trouble
ADVICE_LEAST = 0.25  # s a turned back client is asked to wait at least


class Row(NamedTuple):
    state: State
    input: Input
    when: Callable[[Balancer, Held], bool]
    then: State
    effect: Callable[[Balancer, Held], None]


class Balancer:
    def __init__(self, terms: Terms, host: Host) -> None:
        self._host = host
        self._random = Random(terms.seed)
        self._servers: dict[int, Server] = {}
        self._barred: dict[int, float] = {}
        self._ready: list[Server] = []
        # Of the ready ones, those that a look at all of them would find: a large fleet has few such.
        self._cold: list[Server] = []  # may still be cold
        self._linked_lately: dict[Server, None] = {}  # may have an open connection of this node
        self._resting: dict[Server, None] = {}  # may be set aside
        self._waited: deque[tuple[float, Server]] = deque()  # probed within the span that such a wait counts
        self._owed: list[Server] = []
        self._pool: deque[Server] = deque(maxlen=POOL_MOST)
        self._ends: deque[End] = deque(maxlen=LAST_ALL)
        self._held: dict[int, Held] = {}
        self._flying: dict[tuple[int, int], Dispatch] = {}
        self._queue: list[Held] = []
        self._firsts: deque[tuple[float]] = deque()
        self._retries: deque[tuple[float]] = deque()
        self._recent: deque[Dispatch] = deque()
        self._own: deque[tuple[float, End]] = deque(maxlen=TOLD_MOST)
        self._notes: deque[tuple[float]] = deque()
        self._clearing, self._take = Clearing(host.now()), Take(host.now())
        self._links: deque[tuple[float, bool]] = deque(maxlen=LAST_FEW)
        self._spent: dict[int, deque[float]] = {}
        self._lefts: dict[int, deque[tuple[float, bool]]] = {}
        self.retuned(terms, dict(enumerate(terms.profiles)))
        self._unprobed = self._failures = self._owns = self._token = self._warm = self._able = 0
        self._odd_probe = self._turn_due = False
        self._timers: dict[int, Callable[[], None]] = {}
        self._usual_until, self._usual_now = -math.inf, Usual(1.0, 1.0, 0.001)
        self._passed_over: list[Server] = []
        if terms.must_follow:
            host.follow()
        self._after(self._random.uniform(0, PROBE_SPAN), self._probe_on)

    # What the host calls.

    def heard(self, told: Sequence[Told]) -> None:
        """Outcomes that a peer tells of: they make this node careful, and open or prove nothing."""
        now = self._host.now()
        self._notes.append((now,))
        for word in told:
            server, at = self._servers.get(word.server), now - word.ago
            # Guards against judging a server by what it was before its start, or by older than own news.
            if server is None or word.ago > TOLD_SPAN or at <= max(server.entry.started_at, server.own_at):
                continue
            if word.good:
                server.heard_at = max(server.heard_at, at)
                self._clearing.timed(word.seconds, now)
            self._learned(server, word.good, word.seconds, now)

    def _tell_on(self, server: Server, good: bool, seconds: float, now: float) -> None:
        self._own.appendleft((now, End(server, good, seconds)))
        self._owns += 1
        if self._terms.may_tell and self._terms.nodes > 1:
            peer = self._random.randrange(self._terms.nodes - 1)
            told = [Told(end.server.entry.server, now - at, end.good, end.seconds) for at, end in self._own]
            self._host.tell(peer + (peer >= self._terms.me), self._owns, told)

    def retuned(self, terms: Terms, profiles: Mapping[int, Profile]) -> None:
        """The terms for what comes from now on; what was learned of servers stays."""
        self._terms = terms
        self._profiles = dict(profiles)
        self._deepest = terms.depth is not None and terms.depth == terms.depths - 1
        tiers_left = terms.depths - terms.depth if terms.depth is not None else 1
        self._hold_share = HOLD_SHARE * tiers_left / max(1, terms.depths)
        # The first tier alone: what a deeper one turns away has had work spent on it above.
        self._calm_times = math.inf if terms.depth else CALM_TIMES
        self._young_share = YOUNG_SHARE * tiers_left / max(1, terms.depths)
        self._quotas = () if terms.depth else terms.operator_quotas  # the first tier's matter
        self._asked: list[deque[tuple[float]]] = [deque() for _ in self._quotas]
        self._revenue = sum(profile.revenue for profile in profiles.values()) / max(1, len(profiles)) or 1.0
        self._contract = min((profile.contract_time for profile in profiles.values()), default=1.0)
        # Guards against a contract time that ends before several usual ones.
        self._patience_most = OVERDUE_SHARE * self._contract if terms.beside_clients else math.inf
        self._find_cold()
        self._near_slack = 1.0 + NEAR_WORTH * terms.crossing_price
        self._guard = GUARD_TICKS * terms.tick
        # What was learned of a profile goes with it; a job that is held still knows its own.
        self._spent = {index: self._spent.get(index, deque(maxlen=16)) for index in profiles}
        self._lefts = {index: self._lefts.get(index, deque(maxlen=32)) for index in profiles}

    def take(self, job: Job) -> None:
        now = self._host.now()
        profile = self._profiles.get(job.profile, UNKNOWN_PROFILE)
        age = self._age(job, profile, now)
        contract_end = now - age + min(profile.contract_time, profile.abandon_time)
        past_share, key = self._past_share(job.operator, now), job.key if self._terms.warm_keys else ""
        most, end = self._terms.max_dispatches, now + job.time_left
        held = Held(job.id, job.profile, profile, most, now, contract_end, end, past_share, job.whole, key)
        self._held[job.id] = held
        if job.whole:
            self._count_time(held, now)
        self._step(held, Input.ARRIVED)

    def _count_time(self, held: Held, now: float) -> None:
        # Guards against a job left unanswered when nothing else happens before its abandon time.
        left = held.abandon_end - now
        self._after(max(left - self._guard, left / 2), lambda: self._tell(held.id, Input.LAST_CALL))

    def whole(self, job: int, most: float = math.inf) -> None:
        """A large job's last byte has come: its time and load count from now, and it is not sent again."""
        held, now = self._held.get(job), self._host.now()
        if held is not None and not held.whole:
            held.contract_end += now - held.taken_at
            held.abandon_end = min(held.abandon_end + now - held.taken_at, now + most)
            held.whole, held.most = True, 0
            for dispatch in held.sent:
                if dispatch.out:
                    self._fly(dispatch, now)
            self._count_time(held, now)

    def outcome(self, outcome: Outcome) -> None:
        dispatch = self._flying.pop((outcome.job, outcome.dispatch), None)
        if dispatch is None:
            return
        now = self._host.now()
        dispatch.out = False
        dispatch.may_have_run = outcome.result not in NEVER_RAN
        self._landed(dispatch)
        if outcome.result not in UNHEARD:
            dispatch.server.heard_at = now
        self._noted_link(dispatch, outcome.result, now)
        if outcome.load is not None:
            self._answered(dispatch.server, outcome.load, now)
        ours = dispatch.taken_back or now - dispatch.at >= dispatch.contract_time
        if self._terms.beside_clients and outcome.result is Result.RECALLED and ours:
            # Guards against judging by quick jobs alone: what the node recalls for its time has timed out.
            outcome = replace(outcome, result=Result.TIMED_OUT, seconds=now - dispatch.at)
        self._judge(dispatch.server, outcome, now)
        held = self._held.get(outcome.job)
        if outcome.result is Result.HONOURED and not dispatch.begun:
            self._cleared(held, dispatch, outcome.seconds, now)
        if held is not None:
            held.most = 0 if outcome.spent else held.most
            if outcome.over:
                self._step(held, Input.OVER)
            else:
                owned = OWNED_DEEPEST if self._deepest else OWNED_ANYWHERE
                fault = outcome.result in owned or dispatch.taken_back
                self._step(held, Input.OWNED if fault else Input.PASSED_ALONG)
        self._turn()

    def _cleared(self, held: Held | None, dispatch: Dispatch, seconds: float, now: float) -> None:
        """A server has done a job: what the room and the usual times are worked out from."""
        self._clearing.note(dispatch.contract_time, seconds, now)
        # Guards against budgets learned from what dead or overdriven servers refuse, as clients come again.
        self._take.note(self._warm, max(1, len(self._ready)))
        if held is not None and held.number in self._spent:
            self._spent[held.number].append(seconds)

    def streaming(self, job: int, dispatch: int) -> None:
        held, flight, now = self._held.get(job), self._flying.get((job, dispatch)), self._host.now()
        if flight is not None and not flight.begun:
            # Its server has done the job: what remains is the way, as slow as the caller reads.
            flight.begun, flight.server.heard_at = True, now
            self._landed(flight)
            self._cleared(held, flight, now - flight.at, now)
        if held is not None:
            self._recall_all(held, dispatch)  # the answer that has begun is the final one
        self._tell(job, Input.BEGUN)

    def withdrawn(self, job: int) -> None:
        self._tell(job, Input.WITHDRAWN)

    def probed(self, server: int, result: Result, load: Load | None) -> None:
        now, known = self._host.now(), self._servers.get(server)
        if known is None:
            return
        waited = now - known.asked_at if known.asked_at is not None else -math.inf
        known.asked_at = None
        # Guards against taking a probe that failed at once for a quick one.
        if waited > known.wait or (waited >= 0 and result is Result.HONOURED):
            known.wait, known.waited_at = waited, now
            self._waited.append((now, known))
        if result is Result.HONOURED:
            self._answered(known, load or Load(), now)
        else:
            known.answered_at = -math.inf

    def timer(self, token: int) -> None:
        self._timers.pop(token, lambda: None)()

    def listed(self, news: News, entries: Sequence[ServerEntry]) -> None:
        if news is News.FAILED:
            self._failures += 1
            # Guards against all nodes asking a troubled list service again at the same moment.
            most = self._terms.ask_within / 4 or math.inf
            self._after(renewal_pause(self._failures, self._random, most), self._host.follow)
            return
        self._failures = 0
        if news is not News.CHANGES:
            named = {entry.server for entry in entries}
            self._servers = {index: known for index, known in self._servers.items() if index in named}
        for entry in entries:
            self._enter(entry)
        self._barred = {server: since for server, since in self._barred.items() if server in self._servers}
        self._count_ready()

    def barred(self, server: int, out: bool) -> None:
        """An operator takes a server out of use or gives it back; the list has no say in that."""
        now, known = self._host.now(), self._servers.get(server)
        if out:
            self._barred.setdefault(server, now)
        elif (since := self._barred.pop(server, None)) is not None and known is not None:
            # Guards against judging it by what it was before: it was very likely restarted meanwhile.
            start = known.entry.started_at if known.entry.started_at > since else now
            known = self._fresh(replace(known.entry, started_at=start))
            known.out_since, known.owed = since, True
            if self._terms.probes:
                self._ask(known)
        self._count_ready()

    def lessons(self) -> dict[str, Any]:
        """What was learned so far, for a process that follows this one; servers and profiles by number."""
        now = self._host.now()
        servers = {index: server.lessons(now) for index, server in self._servers.items()}
        spent = {index: list(times) for index, times in self._spent.items()}
        return {"clearing": self._clearing.lessons(now), "servers": servers, "spent": spent}

    def learn(self, lessons: Mapping[str, Any]) -> None:
        now = self._host.now()
        self._clearing.learn(lessons["clearing"], now)
        for index, known in lessons["servers"].items():
            self._servers[index].learn(known, now)
            self._resting[self._servers[index]] = None
            self._waited.append((now, self._servers[index]))
        for index, times in lessons["spent"].items():
            self._spent[index].extend(float(seconds) for seconds in times)

    def _count_ready(self) -> None:
        self._usual_until = -math.inf  # its counts are of the servers before this news
        # Kept between news: going through a large fleet for each job costs more than all its decisions.
        self._ready = [server for server in self._servers.values() if self._is_open(server)]
        self._owed = [server for server in self._ready if server.owed]
        self._find_cold()
        # Guards against growing with every server that ever was.
        self._linked_lately = {server: None for server in self._linked_lately if self._is_known(server)}
        known = (server for server in self._pool if self._servers.get(server.entry.server) is server)
        self._pool = deque(known, maxlen=POOL_MOST)
        self._turn()

    def _find_cold(self) -> None:
        now = self._host.now()
        self._cold = [server for server in self._ready if self._is_cold(server, now)]

    # The loop and what it reads.

    def _step(self, held: Held, event: Input) -> None:
        for row in ROWS.get((held.state, event), ()):
            if row.when(self, held):
                held.state = row.then
                row.effect(self, held)
                return

    def _turn(self) -> None:
        """Gives waiting jobs their turn, the most pressing first, while room lasts."""
        while self._queue:
            head = self._queue[0]
            self._step(head, Input.TURN)
            if head.state is State.WAITING:
                return

    def _turn_on(self) -> None:
        self._turn_due = False
        self._turn()
        self._look_again()

    def _look_again(self) -> None:
        # Guards against jobs that wait for a cold server, or one set aside, while no outcome wakes them.
        if self._queue and not self._turn_due:
            self._turn_due = True
            self._after(TURN_SPAN, self._turn_on)

    def _tell(self, job: int, event: Input) -> None:
        if (held := self._held.get(job)) is not None:
            self._step(held, event)
            self._turn()

    # Judgements: what the table asks.

    def _always(self, held: Held) -> bool:
        return True

    def _hopeless(self, held: Held) -> bool:
        """No server could answer it in time for any revenue; late answers count only while none waits."""
        now, quick = self._host.now(), self._quick(held.number)
        late = held.contract_end - now < quick and (not held.profile.late_share or self._scarce(now))
        return late or held.abandon_end - now - self._guard < quick

    def _crowded_out(self, held: Held) -> bool:
        """By chance, as many as servers would do too late, those of little revenue first."""
        # Guards where nodes sit beside clients: what a thin one has out says nothing of what servers hold.
        part = CROWD_SHARE * held.profile.contract_time / self._usual().middle
        revenue = held.profile.revenue * (self._terms.overage if held.past_share else 1.0)
        chance = part * part * math.sqrt(revenue / self._revenue)
        return self._terms.beside_clients and self._random.random() > chance

    def _scarce(self, now: float) -> bool:
        return bool(self._queue) or self._pressing(now) >= self._room()

    def _finds_place(self, held: Held) -> bool:
        overtakes = not self._queue or self._queue[0].rank() >= held.rank()
        room = self._room()  # finds anew who is passed over: what is out there does not press
        if self._pressing(self._host.now()) >= room or not overtakes:
            return False
        held.choice = self._pick(held)
        return held.choice is not None

    def _may_wait(self, held: Held) -> bool:
        now = self._host.now()
        ahead = sum(1 for other in self._queue if other.rank() < held.rank())
        wait = (ahead + 1) / max(self._clearing.rate(now), 1.0)
        if self._terms.beside_clients:
            wait = min(wait, (ahead + 1) * self._usual().seconds / max(1, len(self._flying)))
        slack = held.contract_end - now - self._quick(held.number)
        return wait <= min(slack, WAIT_SHARE * held.profile.contract_time)

    def _others_out(self, held: Held) -> bool:
        return any(dispatch.out for dispatch in held.sent)

    def _lately(self, kept: deque[tuple[float]]) -> int:
        """How many of these there were in the span of the retries' budget."""
        self._prune(kept, self._host.now() - RETRY_SPAN)
        return len(kept)

    def _budget_left(self) -> bool:
        return self._lately(self._retries) + 1 <= RETRY_SHARE * self._lately(self._firsts)

    def _may_retry(self, held: Held) -> bool:
        most = min(held.most, self._terms.max_dispatches)  # the stricter, if the terms have changed
        if not self._budget_left() or len(held.sent) >= most or self._hopeless(held):
            return False
        held.choice = self._pick(held)
        return held.choice is not None

    def _swallowed(self, held: Held) -> bool:
        """Its server answers nothing while most others do: its own fault, seen before the time-out."""
        # Guards against jobs lost in servers that take work and answer none. Acts at any tier, in the budget.
        last = held.sent[-1]
        waits = held.whole and last.out and not last.taken_back
        return waits and last.server in self._silent(self._host.now()) and self._may_retry(held)

    def _copy_due(self, held: Held) -> bool:
        return self._terms.second_copies and self._swallowed(held)

    def _recall_due(self, held: Held) -> bool:
        # Guards against sound servers that were merely not heard of: the newest outcome there was a failure.
        doubted = not all(list(held.sent[-1].server.last)[-1:])
        return not self._terms.second_copies and doubted and self._swallowed(held)

    # Effects: what the table does.

    def _nothing(self, held: Held) -> None:
        pass

    def _wait(self, held: Held) -> None:
        insort(self._queue, held, key=Held.rank)
        self._look_again()

    def _send_first(self, held: Held) -> None:
        if held in self._queue:
            self._queue.remove(held)
        self._firsts.append((self._host.now(),))
        self._send(held)
        self._unprobed += 1
        if self._terms.probes and self._unprobed >= PROBE_EVERY:
            self._probe()

    def _send_again(self, held: Held) -> None:
        self._retries.append((self._host.now(),))
        self._send(held)

    def _send(self, held: Held) -> None:
        now, server, held.choice = self._host.now(), held.choice, None
        assert server is not None
        server.owed = False
        linked = self._linked(server, now)
        if linked and self._terms.connection_jobs <= 1:
            server.idle.pop()
        dispatch = Dispatch(server, now, held.profile.contract_time, linked)
        self._flying[held.id, len(held.sent)] = dispatch
        held.sent.append(dispatch)
        if held.whole:
            self._fly(dispatch, now)
        if self._is_cold(server, now):
            server.cold_from = now
            server.cold_due = self._random.uniform(1 - COLD_SPREAD, 1 + COLD_SPREAD)
        end = held.abandon_end if held.profile.late_share else min(held.abandon_end, held.contract_end)
        self._host.dispatch(held.id, server.entry.server, max(end - now, 0.001))
        if self._terms.second_copies or (self._terms.beside_clients and self._terms.recalls):
            delay = min(OVERDUE_TIMES * self._usual().seconds, self._patience_most)
            self._after(delay, lambda: self._step(held, Input.OVERDUE))

    def _take_back(self, held: Held) -> None:
        """Recalls what its server has swallowed; it is sent elsewhere once that outcome is there."""
        held.sent[-1].taken_back = True
        self._host.recall(held.id, len(held.sent) - 1)

    def _fly(self, dispatch: Dispatch, now: float) -> None:
        dispatch.at = now
        self._recent.append(dispatch)
        dispatch.server.flights.append(dispatch)
        self._linked_lately[dispatch.server] = None

    def _landed(self, dispatch: Dispatch) -> None:
        if dispatch in dispatch.server.flights:
            dispatch.server.flights.remove(dispatch)

    def _give_up(self, held: Held) -> None:
        """The final answer: a turn-back where trying again is surely harmless, else a write-off."""
        self._leave(held)
        if self._turn_back_is_harmless(held):
            self._host.turn_back(held.id, self._advice())
        else:
            self._host.write_off(held.id)

    def _leave(self, held: Held) -> None:
        del self._held[held.id]
        if held in self._queue:
            self._queue.remove(held)
        self._recall_all(held)

    def _recall_all(self, held: Held, but: int = -1) -> None:
        # Guards against servers working on for nobody.
        out = (number for number, dispatch in enumerate(held.sent) if dispatch.out and number != but)
        for number in out if self._terms.recalls else ():
            self._host.recall(held.id, number)

    # Which server.

    def _pick(self, held: Held) -> Server | None:
        now = self._host.now()
        most = max(2.0, SERVER_SPREAD * self._room() / max(1, len(self._ready)))

        def fits(server: Server) -> bool:
            return (
                self._takes_more(server, now)
                and len(server.flights) < most
                and self._is_open(server)
                and not (self._is_cold(server, now) and self._cold_left(server, now) < server.cold_due)
                and not any(dispatch.server is server for dispatch in held.sent)
                and (not held.sent or self._may_run_on(held, server, now))
            )

        def is_near(server: Server) -> bool:
            return server.entry.zone == self._terms.zone

        # Guards against a server given back that is never met: nothing is known of it.
        owed = next((server for server in self._owed if server.owed and fits(server)), None)
        if owed is not None:
            return owed
        known = [server for server in self._familiar(now) if fits(server)]
        pool = known or [server for server in self._pool if fits(server)]
        ready = known or self._ready
        choice = self._better(pool, ready, fits, now)
        if choice is not None and held.key:
            most = KEY_SLACK * self._score(choice, now)
            likely = (server for server in self._likely_met(held.key) if fits(server))
            met = min(likely, key=lambda server: self._score(server, now), default=choice)
            choice = met if self._score(met, now) <= most else choice
        elif choice is not None and self._near_slack > 1.0 and choice.entry.zone != self._terms.zone:
            # Acts only where crossing zones is priced: a near server wins unless clearly worse.
            pool = [server for server in pool if is_near(server)]
            near = self._better(pool, ready, lambda server: is_near(server) and fits(server), now)
            spare = math.floor(NEAR_SPARE * len(self._flying) / len(self._ready))
            most = self._near_slack * self._score(choice, now)
            if near is not None and self._score(near, now, spare) <= most:
                return near
        return choice

    def _likely_met(self, key: str) -> list[Server]:
        """The servers that all nodes send a key's jobs to first: a rank by hash, weighted by size."""

        def rank(server: Server) -> float:
            digest = blake2b(f"{server.entry.tag} {key}".encode(), digest_size=6).digest()
            return -math.log((1 + int.from_bytes(digest)) / 2**48) / max(server.entry.power, 0.01)

        return sorted(self._ready, key=rank)[:KEY_SERVERS]

    def _better(
        self, pool: list[Server], ready: Sequence[Server], fits: Callable[[Server], bool], now: float
    ) -> Server | None:
        """The better of two random entries of the pool; under two fresh, of two ready ones by own jobs."""
        fresh = [server for server in pool if now - server.answered_at <= FRESH_SPAN]
        if len(fresh) >= 2:
            scored = sorted((self._score(server, now), self._random.random(), server) for server in fresh)
            best = scored[: max(2, math.ceil(len(scored) * POOL_SHARE))]
            return min(self._random.sample(best, 2))[2]
        two = self._two_of(ready, fits)
        return min(two, key=lambda server: len(server.flights), default=None)

    def _two_of(self, ready: Sequence[Server], fits: Callable[[Server], bool]) -> list[Server]:
        """Two random servers that fit, or as many as there are."""
        found: dict[Server, None] = {}
        # Guards against going through a large fleet for each job: mostly the first few looks are enough.
        for _ in range(LOOKS_MOST if len(ready) > LOOKS_MOST else 0):
            server = self._random.choice(ready)
            if fits(server):
                found[server] = None
            if len(found) == 2:
                return list(found)
        fitting = [server for server in ready if fits(server)]
        return self._random.sample(fitting, min(2, len(fitting)))

    def _familiar(self, now: float) -> list[Server]:
        """Servers with an open connection, where connections are priced or new ones fail; none elsewhere."""
        # Guards against more connections than servers accept, and new ones failing while open ones serve on.
        self._prune(self._links, now - RETRY_SPAN)
        fail = sum(1 for _, made in self._links if not made) > LAST_FEW / 2
        if not fail and self._terms.connection_price <= 0:
            return []
        linked = [server for server in list(self._linked_lately) if self._has_link(server, now)]
        return linked if fail or len(linked) >= FAMILIAR else []

    def _has_link(self, server: Server, now: float) -> bool:
        """Whether it is ready and linked; where it has no link at all, it is not looked at again."""
        linked = self._linked(server, now)
        if not (linked or server.flights):
            del self._linked_lately[server]
        return linked and self._is_in_use(server)

    def _is_known(self, server: Server) -> bool:
        """Whether it is in the list, and not the record of a server that left or restarted."""
        return self._servers.get(server.entry.server) is server

    def _is_in_use(self, server: Server) -> bool:
        """Whether it is one of the ready ones."""
        return self._is_known(server) and self._is_open(server)

    def _linked(self, server: Server, now: float) -> bool:
        shared = self._terms.connection_jobs > 1 and len(server.flights) > 0
        return shared or (len(server.idle) > 0 and server.idle[-1] > now - self._terms.connection_idle)

    def _noted_link(self, dispatch: Dispatch, result: Result, now: float) -> None:
        if not dispatch.linked and result is not Result.NEVER_SENT:
            self._links.append((now, result is not Result.NO_CONNECTION))
        if result in (Result.NO_CONNECTION, Result.RESET):
            dispatch.server.idle.clear()
        elif result not in (Result.NEVER_SENT, Result.SPOILT):
            dispatch.server.idle.append(now)
            self._linked_lately[dispatch.server] = None

    def _score(self, server: Server, now: float, spare: float = 0.0) -> float:
        """The answer's load, less as it ages, plus own sends still out, less those spared, by its pace."""
        answer = server.answer or Load()
        usual = self._usual()
        reported = answer.held if answer.held is not None else answer.waiting or 0.0
        weight = usual.seconds / (usual.seconds + now - server.answered_at)
        held = max(0.0, weight * reported + len(server.flights) - spare)
        late = max(0.0, server.wait / usual.wait / WAIT_NOISE - 1.0)
        late *= usual.seconds / (usual.seconds + now - server.waited_at)
        # Guards against herds: among idle servers a noisy pace would decide alone, so it counts half.
        return (held + 1.0) * (1.0 + middle(server.seconds, usual.seconds) / usual.seconds) / 2 * (1.0 + late)

    def _silent(self, now: float) -> list[Server]:
        """Servers from which nothing was heard since an overdue dispatch; none if that is most of them."""
        due = now - min(PATIENCE * self._usual().seconds, self._patience_most)
        flying = dict.fromkeys(dispatch.server for dispatch in self._flying.values())
        holding = [
            server
            for server in flying
            if server.flights and server.flights[0].at < due and self._is_in_use(server)
        ]
        silent = [server for server in holding if server.heard_at < server.flights[0].at]
        return silent if len(silent) <= SILENT_MOST * len(self._ready) else []

    def _find_passed_over(self, now: float) -> list[Server]:
        """Servers that are silent or slow; none if that is most of them."""
        # Guards against jobs at overdriven servers: a probe tells of those seconds before a job does.
        usual = self._usual_now
        least, silent = max(WAIT_TIMES * usual.wait, WAIT_PART * usual.seconds), self._silent(now)
        self._prune(self._waited, now - WAIT_SPAN)
        waited = dict.fromkeys(server for _, server in self._waited)
        slow = [server for server in waited if server.wait > least and now - server.waited_at < WAIT_SPAN]
        found = silent + [server for server in slow if server not in silent and self._is_in_use(server)]
        return found if len(found) <= SILENT_MOST * len(self._ready) else []

    def _set_aside(self, now: float) -> list[Server]:
        """The ready servers that are set aside."""
        for server in [server for server in self._resting if server.back_at <= now]:
            del self._resting[server]
        return [server for server in self._resting if self._is_in_use(server)]

    def _takes_more(self, server: Server, now: float) -> bool:
        return server.back_at <= now and server not in self._passed_over

    def _usual(self) -> Usual:
        now = self._host.now()
        if now >= self._usual_until:
            self._usual_until = now + USUAL_SPAN
            self._take.pass_on(now, self._warm)
            # One time a server: quick servers answer more jobs and would pass for the usual.
            latest = {end.server.entry.server: end.seconds for end in self._ends if end.seconds}
            waits = (server.wait for server in self._pool if server.wait)
            seconds = (end.seconds for end in self._ends if end.seconds)
            # Guards against a start that passes for crowded: without news of times, nothing is.
            figures = (middle(latest.values(), 1.0), middle(waits, 1.0), middle(seconds, 0.0))
            self._usual_now = Usual(*(max(figure, 0.001) for figure in figures))
            self._passed_over = self._find_passed_over(now)
            # Kept with them: going through a large fleet for each job costs more than all its decisions.
            self._cold = [server for server in self._cold if self._is_cold(server, now)]
            self._warm = len(self._ready) - len(self._cold)
            kept_out = dict.fromkeys([*self._set_aside(now), *self._passed_over])
            self._able = self._warm - sum(1 for server in kept_out if not self._is_cold(server, now))
        return self._usual_now

    # The four rules.

    def _may_run_on(self, held: Held, server: Server, now: float) -> bool:
        """Whether a further dispatch there cannot make an effect happen twice."""
        # Guards against a repeat that is decided on in time, and comes up when its server has forgotten.
        return now < self._repeat_until(held, held.sent, server) - self._terms.connect_within

    def _repeat_until(self, held: Held, earlier: Sequence[Dispatch], server: Server) -> float:
        """Until when a dispatch there cannot make an effect happen twice; -inf where it may at once."""
        profile = held.profile
        ran = [dispatch for dispatch in earlier if dispatch.may_have_run]
        if not ran or profile.effect is Effect.REISSUABLE:
            return math.inf
        if profile.effect is Effect.AT_MOST_ONCE:
            return -math.inf
        if not all(self._drops_repeats(profile, dispatch.server, server) for dispatch in ran):
            return -math.inf
        return ran[0].at + profile.window - self._guard

    def repeat_until(self, job: int, dispatch: int) -> float:
        """The same for a dispatch that was ordered, by what is known now of those before it."""
        held = self._held.get(job)
        if held is None:
            return -math.inf
        return self._repeat_until(held, held.sent[:dispatch], held.sent[dispatch].server)

    def _drops_repeats(self, profile: Profile, first: Server, second: Server) -> bool:
        near = first.entry.zone == second.entry.zone
        same = near and (profile.group is Group.ZONE or first.entry.cell == second.entry.cell)
        return same or profile.group is Group.ALL

    def _turn_back_is_harmless(self, held: Held) -> bool:
        effect, group = held.profile.effect, held.profile.group
        may_repeat = effect is Effect.REISSUABLE or (effect is Effect.NUMBERED and group is Group.ALL)
        return may_repeat or not any(dispatch.may_have_run for dispatch in held.sent)

    def _is_cold(self, server: Server, now: float) -> bool:
        return server.entry.started_at > 0 and now < server.entry.started_at + self._terms.cold_time

    def _cold_left(self, server: Server, now: float) -> float:
        """Sends that this node's part of the cold budget has come to since the last one there."""
        self._usual()  # counts the warm ones anew
        # Guards against one warm server that passes for doing all that the fleet did; none gets so much.
        part = min(SERVER_SPREAD, len(self._ready) / self._warm) if self._warm else 1.0
        least = 1.0 / (COLD_SPAN * self._terms.nodes * self._terms.processes)
        each = max(part * self._take.rate(), least)
        # Added up as the server warms, and not foretold: many nodes' next sends lie seconds ahead.
        between = (server.cold_from + now) / 2 - server.entry.started_at
        warmed = min(max(0.0, between) / self._terms.cold_time, 1.0)
        share = self._terms.cold_share + (1.0 - self._terms.cold_share) * warmed
        return (now - server.cold_from) * each * share * self._terms.tip_multiple * COLD_CARE

    # Room, health and the rest.

    def _room(self) -> float:
        """Jobs out at most: what the last answers' rate clears within a part of the contract time."""
        learned = self._clearing.clears(self._hold_share, self._calm_times, self._host.now())
        self._usual()  # counts the able servers anew
        # Guards small machines, which the higher floor overdrives: it holds while answers are calm.
        floor = FLOOR_CALM if self._clearing.is_calm() else FLOOR_EACH
        if self._terms.beside_clients:
            floor *= min(1.0, CROWD_SHARE * self._contract / self._usual().middle)
        return max(2.0, floor * self._able / self._parts(), learned)

    def _parts(self) -> float:
        """How many times this node's traffic all nodes have; by their number where nobody tells of his."""
        if not self._terms.may_tell:
            return self._terms.nodes
        # Each outcome of a node is one note to one peer: so many come as a node has outcomes in the mean.
        return self._terms.nodes * (self._lately(self._notes) + 1) / (self._lately(self._firsts) + 1)

    def _pressing(self, now: float) -> int:
        """Jobs out, still young, and where more may go."""
        # Guards against jobs swallowed, or stuck in resting servers, using up the room of the others.
        while self._recent:
            first = self._recent[0]
            if first.out and not first.begun and now - first.at <= self._young_share * first.contract_time:
                break
            self._recent.popleft()
        pressing = (dispatch.server for dispatch in self._recent if dispatch.out and not dispatch.begun)
        return sum(1 for server in pressing if self._takes_more(server, now))

    def _judge(self, server: Server, outcome: Outcome, now: float) -> None:
        """Sets a server aside when its last few outcomes trail the others'."""
        good = outcome.result is Result.HONOURED
        if outcome.result is Result.FULL:
            # Guards against a second refusal there: a full server has room when a job of the usual time ends.
            self._rest(server, max(server.back_at, now + self._usual().seconds))
        if not good and outcome.result not in FAULTS:
            return
        seconds = outcome.seconds if good or outcome.result is Result.TIMED_OUT else 0.0
        server.own_at = now
        self._tell_on(server, good, seconds, now)
        self._learned(server, good, seconds, now)

    def _learned(self, server: Server, good: bool, seconds: float, now: float) -> None:
        server.last.append(good)
        if seconds:
            server.seconds.append(seconds)
        self._ends.append(End(server, good, seconds))
        # Guards against setting aside what has left the list, or was restarted: nobody knows it any more.
        if good or self._servers.get(server.entry.server) is not server:
            return
        others = [end.good for end in self._ends if end.server is not server]
        usual = sum(others) / len(others) if others else 1.0
        aside = len(self._set_aside(now))
        # Guards against setting the fleet aside in a trouble common to all.
        if sum(server.last) / len(server.last) < usual - HEALTH_GAP and aside < ASIDE_MOST * len(self._ready):
            self._rest(server, now + ASIDE_SPAN + self._random.uniform(0, ASIDE_RANDOM))
            self._host.set_aside(server.entry.server, server.back_at - now)

    def _rest(self, server: Server, until: float) -> None:
        server.back_at = until
        self._resting[server] = None

    def _answered(self, server: Server, load: Load, now: float) -> None:
        server.answer, server.answered_at = load, now
        if server in self._pool:
            self._pool.remove(server)
        # Guards against sends to a server the list has dropped: a late outcome may still bring its report.
        if self._servers.get(server.entry.server) is server:
            self._pool.append(server)

    def _probe_on(self) -> None:
        if self._terms.probes:
            self._probe()
        self._after(PROBE_SPAN, self._probe_on)

    def _probe(self) -> None:
        self._unprobed = 0
        if self._ready:
            self._odd_probe = not self._odd_probe
            # Every other probe asks a server that is likely to be sent to; the rest keep the design's share.
            asked = (self._familiar(self._host.now()) if self._odd_probe else []) or self._ready
            self._ask(self._random.choice(asked))

    def _ask(self, server: Server) -> None:
        server.asked_at = self._host.now()
        self._host.probe(server.entry.server)

    def _enter(self, entry: ServerEntry) -> None:
        known = self._servers.get(entry.server)
        if entry.presence is Presence.GONE:
            # Guards against growing with each server that ever was; dispatches there still know its group.
            self._servers.pop(entry.server, None)
        elif known is None or entry.started_at > known.entry.started_at:
            # Guards against judging a restarted server by what it was before.
            self._fresh(entry)
        else:
            # Guards against word from before it was given back: that it is warm.
            start = entry.started_at if entry.started_at > known.out_since else known.entry.started_at
            known.entry = replace(entry, started_at=start)

    def _fresh(self, entry: ServerEntry) -> Server:
        now = self._host.now()
        known = self._servers[entry.server] = Server(entry)
        if self._is_cold(known, now):
            known.cold_from, known.cold_due = now, self._random.random()
        return known

    def _is_open(self, server: Server) -> bool:
        """Whether anything new may go there: the list has it ready, and no operator has it out."""
        return server.entry.presence is Presence.READY and server.entry.server not in self._barred

    def _past_share(self, operator: int, now: float) -> bool:
        if operator >= len(self._quotas) or self._quotas[operator] <= 0:
            return False
        asked, most = self._asked[operator], self._quotas[operator] * RETRY_SPAN / self._parts()
        past = self._lately(asked) >= most / self._terms.processes
        if not past:
            asked.append((now,))
        return past

    def _age(self, job: Job, profile: Profile, now: float) -> float:
        """How long the client has waited, read off the time left against the longest seen lately."""
        lefts = self._lefts.get(job.profile)
        if lefts is None:
            return 0.0
        lefts.append((job.time_left, job.repeat))
        # Guards against first tries passing for old beside a last retry; they yield while room is scarce.
        scarce = any(repeat for _, repeat in lefts) and self._scarce(now)
        usual = max((left for left, repeat in lefts if scarce or not repeat), default=job.time_left)
        if job.repeat:
            own = abs(job.time_left - usual) > 0.02 * usual
            return max(0.0, profile.abandon_time - job.time_left) if own else 0.0
        return usual - job.time_left

    def _quick(self, profile: int) -> float:
        spent = self._spent.get(profile)
        return sorted(spent)[len(spent) // 4] if spent else 0.0

    def _advice(self) -> float:
        wait = ADVICE_LEAST + len(self._queue) / max(self._clearing.rate(self._host.now()), 1.0)
        return min(wait * self._random.uniform(1.0, 2.0), self._terms.advice_limit)

    def _after(self, delay: float, due: Callable[[], None]) -> None:
        self._token += 1
        self._timers[self._token] = due
        self._host.set_timer(delay, self._token)

    def _prune(self, kept: deque[Any], since: float) -> None:
        """Drops what was noted before; each entry begins with its moment."""
        while kept and kept[0][0] < since:
            kept.popleft()


UNKNOWN_PROFILE = Profile(contract_time=1.0, abandon_time=math.inf)  # taken as at-most-once
UNHEARD = (Result.RECALLED, Result.TIMED_OUT, Result.NEVER_SENT)
NEVER_RAN = (Result.FULL, Result.NO_CONNECTION, Result.NEVER_SENT)
OWNED_ANYWHERE = (Result.FULL, Result.NO_CONNECTION, Result.RESET, Result.SPOILT)
OWNED_DEEPEST = (*OWNED_ANYWHERE, Result.ERROR, Result.TIMED_OUT)
FAULTS = (Result.ERROR, Result.TIMED_OUT, Result.NO_CONNECTION, Result.RESET, Result.SPOILT)

B, S, E = Balancer, State, Input
TABLE = (
    # state, input, judgement, next state, effect; the first row whose judgement holds is taken
    Row(S.NEW, E.ARRIVED, B._hopeless, S.ENDED, B._give_up),
    Row(S.NEW, E.ARRIVED, B._crowded_out, S.ENDED, B._give_up),
    Row(S.NEW, E.ARRIVED, B._finds_place, S.OUT, B._send_first),
    Row(S.NEW, E.ARRIVED, B._may_wait, S.WAITING, B._wait),
    Row(S.NEW, E.ARRIVED, B._always, S.ENDED, B._give_up),
    Row(S.WAITING, E.TURN, B._hopeless, S.ENDED, B._give_up),
    Row(S.WAITING, E.TURN, B._finds_place, S.OUT, B._send_first),
    Row(S.WAITING, E.LAST_CALL, B._always, S.ENDED, B._give_up),
    Row(S.WAITING, E.WITHDRAWN, B._always, S.ENDED, B._leave),
    Row(S.OUT, E.OWNED, B._others_out, S.OUT, B._nothing),
    Row(S.OUT, E.OWNED, B._may_retry, S.OUT, B._send_again),
    Row(S.OUT, E.OWNED, B._always, S.ENDED, B._give_up),
    Row(S.OUT, E.PASSED_ALONG, B._others_out, S.OUT, B._nothing),
    Row(S.OUT, E.PASSED_ALONG, B._always, S.ENDED, B._give_up),
    Row(S.OUT, E.OVERDUE, B._copy_due, S.OUT, B._send_again),
    Row(S.OUT, E.OVERDUE, B._recall_due, S.OUT, B._take_back),
    Row(S.OUT, E.BEGUN, B._always, S.STREAMING, B._nothing),
    Row(S.OUT, E.OVER, B._always, S.ENDED, B._leave),
    Row(S.OUT, E.LAST_CALL, B._always, S.ENDED, B._give_up),
    Row(S.OUT, E.WITHDRAWN, B._always, S.ENDED, B._leave),
    Row(S.STREAMING, E.OWNED, B._others_out, S.STREAMING, B._nothing),
    Row(S.STREAMING, E.OWNED, B._always, S.ENDED, B._give_up),
    Row(S.STREAMING, E.PASSED_ALONG, B._others_out, S.STREAMING, B._nothing),
    Row(S.STREAMING, E.PASSED_ALONG, B._always, S.ENDED, B._give_up),
    Row(S.STREAMING, E.OVER, B._always, S.ENDED, B._leave),
    Row(S.STREAMING, E.WITHDRAWN, B._always, S.ENDED, B._leave),
)
ROWS = {key: [row for row in TABLE if row[:2] == key] for key in dict.fromkeys(row[:2] for row in TABLE)}
