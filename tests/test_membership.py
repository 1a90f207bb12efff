"""Who is there: rosters and envelopes in virtual time, over a network that loses, delays and cuts."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from random import Random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from notchjunction.errors import FleetError
from notchjunction.fleet import envelope as env
from notchjunction.fleet.envelope import Envelope, Key, OutgoingMessage, Sender
from notchjunction.fleet.membership import (
    anti_entropy,
    dissemination,
    failure_detector,
    joining,
    local_node,
    member_table,
)
from notchjunction.fleet.membership import membership as membership_module
from notchjunction.fleet.membership.membership import Membership
from notchjunction.fleet.membership.messages import (
    Ack,
    Digest,
    Join,
    JoinReply,
    MemberState,
    MemberUpdate,
    Message,
    Ping,
    UpdateBatch,
)
from notchjunction.fleet.membership.records import Member, merge

ALIVE, SUSPECT, DEAD, LEFT = MemberState
KEYS = [Key(1, b"k" * 16)]
DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


class Node:
    def __init__(self, net: Net, me: Sender, address: str) -> None:
        self.net, self.me, self.address, self.rate = net, me, address, net.random.uniform(0.95, 1.05)
        self.roster = Membership(me, address, ["a0"], net.random.randrange(1 << 30))
        self.envelope = Envelope(me, KEYS)
        self.up, self.paused_until, self.sent = True, 0.0, 0
        self.refused: list[FleetError] = []
        self.dead: list[str] = []  # names, each time it takes one for dead

    def clock(self) -> float:
        return 500.0 + self.net.now * self.rate

    def away(self) -> bool:
        return self.roster.is_away(self.clock())

    def states(self) -> dict[str, MemberState]:
        return {name: held.state for name, held in self.roster.members().items()}

    def tick(self) -> None:
        self.net.at(max(self.net.now + 0.1 / self.rate, self.paused_until), self.tick)
        if self.up and self.net.now >= self.paused_until:
            self.say(self.roster.tick(self.clock()))
            for address, message in self.roster.due_joins(self.clock()):
                self.net.post(self, address, Sender("", 0), message)
            events = self.roster.take_changes()
            self.dead += [name for name, _, after in events if after and after.state is DEAD]

    def say(self, outs: list[OutgoingMessage]) -> None:
        for to, message in outs:
            start = self.roster.start_of(to)
            self.net.post(self, self.roster.address_of(to) or "", Sender(to, start), message)

    def hear(self, source: str, data: bytes) -> None:
        if self.net.now < self.paused_until:  # what waits is heard after the tick: the order that is worse
            return self.net.at(self.paused_until + 0.001, lambda: self.hear(source, data))
        try:
            opened = self.envelope.open(data)
        except FleetError as error:
            return self.refused.append(error)
        message = DECODER.decode(opened.payload)
        if not opened.is_join:
            return self.say(self.roster.receive(self.clock(), opened.sender, message))
        for answer in self.roster.reply_to_join(self.clock(), opened.sender, message):
            self.net.post(self, source, opened.sender, answer)


class Net:
    def __init__(self, nodes: int, loss: float = 0.0, seed: int = 1) -> None:
        self.now, self.loss, self.random, self.turn = 0.0, loss, Random(seed), itertools.count(1)
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.places: dict[str, Node] = {}
        self.cut: Callable[[str, str], bool] = lambda source, to: False
        for number in range(nodes):
            self.add(f"n{number}", f"a{number}")
        self.until(lambda: all(len(node.roster.live()) == nodes - 1 for node in self.up()), 60.0)

    def add(self, name: str, address: str) -> Node:
        node = self.places[address] = Node(self, Sender(name, next(self.turn)), address)
        self.at(self.now + self.random.random(), node.tick)
        return node

    def up(self) -> list[Node]:
        return [node for node in self.places.values() if node.up]

    def at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (time, next(self.turn), call))

    def post(self, node: Node, address: str, to: Sender, message: Message) -> None:
        payload = msgspec.msgpack.encode(message)
        data, place = node.envelope.seal(*to, payload), self.places[address]
        node.sent += len(payload)
        if self.random.random() >= self.loss and not self.cut(node.address, address):
            late = self.random.uniform(0.001, 0.05)
            self.at(self.now + late, lambda: place.hear(node.address, data) if place.up else None)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def until(self, so: Callable[[], bool], most: float) -> None:
        end = self.now + most
        while not so():
            assert self.now < end, [node.states() for node in self.up()][:3]
            self.run(0.5)

    def settle(self, most: float = membership_module.HEALED_MAX_S, **others: MemberState) -> None:
        """Until all nodes that run are back and hold each other alive, and the others as told."""
        self.cut, self.loss = lambda source, to: False, 0.0
        view = {node.me.name: ALIVE for node in self.up()} | others
        self.until(lambda: all(node.states() == view and not node.away() for node in self.up()), most)


@pytest.mark.parametrize("nodes", [2, 3, 5, 50, 200])
def test_all_find_each_other_from_one_seed_and_bury_the_dead_in_time(nodes: int) -> None:
    net = Net(nodes, seed=nodes)
    newcomer = net.add("n", "a")
    net.settle()
    net.run(10.0)  # until it is no news
    before = {node: node.sent for node in net.up()}
    net.run(10.0)
    assert max(node.sent - before[node] for node in net.up()) <= 10.0 * membership_module.CALM_BYTES_PER_S
    newcomer.up = False
    net.settle(failure_detector.detection_time_max(nodes) / 0.95, n=DEAD)
    assert all(
        node.sent / net.now <= membership_module.TROUBLE_BYTES_PER_S and not node.refused for node in net.up()
    )


@pytest.mark.parametrize("fault", ["a third lost", "one link cut", "deaf", "late"])
def test_bad_links_or_a_late_timer_bury_nobody_else(fault: str) -> None:
    net, deaf, late = Net(8, loss=0.3 * (fault == "a third lost")), fault == "deaf", fault == "late"
    net.cut = lambda source, to: to == "a1" and (deaf or (source == "a2" and fault == "one link cut"))
    for _ in range(60 if deaf else 120):
        net.places["a1"].paused_until = net.now + 0.9 * late
        net.run(1.0)
    dead = {name for node in net.up() for name in node.dead if node.address != "a1"}
    assert dead == ({"n1"} if deaf else set())
    assert len(net.places["a1"].dead) < (7 if deaf else 1)  # it doubts itself first
    records = net.places["a0"].roster.members().values()
    assert fault != "one link cut" or not any(held.incarnation for held in records)
    net.settle()


@pytest.mark.parametrize(
    ("nodes", "span"), [(6, anti_entropy.DEAD_KEPT_S), (50, anti_entropy.DEAD_KEPT_S), (6, 20.0)]
)
def test_two_sides_heal_if_cut_again(nodes: int, span: float, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(anti_entropy, "DEAD_KEPT_S", span)
    monkeypatch.setattr(membership_module, "DEAD_KEPT_S", span)
    net, forgotten = Net(nodes), span < 100.0
    net.places["a0"].up = forgotten  # who has forgotten the other side needs the seed, and nobody else
    for healed in (2.0, 0.0):
        net.cut = lambda source, to: int(source[1:]) % 2 != int(to[1:]) % 2
        net.run(100.0)
        assert all(len(node.roster.live()) < nodes // 2 for node in net.up())
        net.cut = lambda source, to: False
        net.run(healed)
    net.settle(**({} if forgotten else {"n0": DEAD}))
    assert all(node.sent / net.now <= membership_module.TROUBLE_BYTES_PER_S for node in net.up())


@pytest.mark.parametrize(("seconds", "alone"), [(3.0, False), (60.0, False), (5.0, True)])
def test_a_paused_node_is_away_until_peers_answer_and_accuses_nobody(seconds: float, alone: bool) -> None:
    net = Net(5)
    sleeper = net.places["a4"]
    sleeper.paused_until = net.now + seconds
    assert sleeper.roster.is_away(sleeper.clock() + 2.5)  # whoever asks before its timer does
    net.run(seconds - 0.5)
    net.cut = lambda source, to: "a4" in (source, to)
    net.run(8.0)
    assert sleeper.away() and set(sleeper.states().values()) == {ALIVE}
    if alone:
        net.until(lambda: not sleeper.away(), 90.0)
        assert sorted(sleeper.dead) == ["n0", "n1", "n2", "n3"]
    net.settle()


def test_a_restart_is_a_later_start_and_one_that_leaves_is_gone() -> None:
    net = Net(4)
    net.places["a1"].up = False
    again = net.add("n1", "a9")
    net.until(lambda: {node.roster.start_of("n1") for node in net.up()} == {again.me.start}, 10.0)
    assert again.roster.fault(again.clock()) is None
    again.say(again.roster.leave(again.clock()))
    net.run(5.0)
    assert {node.states()["n1"] for node in net.up()} == {LEFT}


def test_twins_are_reported_by_all_who_hear_both_and_refute_nothing() -> None:
    net = Net(4)
    older, newer, third = net.places["a1"], net.add("n1", "a9"), net.places["a2"]
    net.run(30.0)
    false = UpdateBatch(
        (MemberUpdate("n1", "a1", older.me.start, 0, DEAD, 0, ()), MemberUpdate("x", "x", 1, 0, ALIVE, 0, ()))
    )
    third.roster.receive(third.clock(), older.me, false)
    older.roster.receive(older.clock(), third.me, false)
    faults = [node.roster.fault(node.clock()) for node in (older, newer, third)]
    assert [type(fault) for fault in faults] == [
        local_node.ReplacedError,
        local_node.DuplicateNodeNameError,
        local_node.DuplicateNodeNameError,
    ]
    assert all(fault and fault.remedy for fault in faults) and not any(node.dead for node in net.up())
    assert {node.roster.start_of("n1") for node in net.up() if node is not older} == {newer.me.start}
    assert "x" not in third.states() and older.roster.members()["n1"].incarnation == 0


@pytest.fixture
def roster() -> Membership:
    roster = Membership(Sender("me", 5), "m", [], 1)
    told(roster, PEER)
    return roster


PEER = MemberUpdate("peer", "p", 1, 0, ALIVE, 0, ())


def told(roster: Membership, rumour: MemberUpdate) -> MemberState | None:
    roster.receive(0.0, Sender("peer", 1), UpdateBatch((PEER, rumour)))
    return roster.members()[rumour.name].state if rumour.name in roster.members() else None


def test_old_deaths_are_no_news_and_are_forgotten(roster: Membership) -> None:
    for state, start, age, then in (
        (DEAD, 3, int(member_table.DEATH_NEWS_S) + 1, None),
        (DEAD, 3, 10, DEAD),
        (ALIVE, 3, 0, DEAD),
        (ALIVE, 4, 0, ALIVE),
        (DEAD, 3, 0, ALIVE),
        (DEAD, 4, 0, SUSPECT),  # by hearsay
        (DEAD, 5, 0, SUSPECT),
    ):
        assert told(roster, MemberUpdate("x", "ax", start, 0, state, age, ())) is then
    assert told(roster, MemberUpdate("y", "ay", 3, 0, DEAD, 10, ())) is DEAD
    for now in range(int(anti_entropy.DEAD_KEPT_S) + 20):
        roster.tick(float(now))
    assert "y" not in roster.members()


def test_who_slept_longer_than_the_dead_are_remembered_tells_of_itself_and_joins_anew(
    roster: Membership,
) -> None:
    told(roster, MemberUpdate("x", "ax", 3, 0, ALIVE, 0, ()))
    roster.tick(0.0)
    now, peer = anti_entropy.DEAD_KEPT_S + 10.0, Sender("peer", 1)
    outs = roster.receive(now, peer, Ping(1, ())) + roster.tick(now)
    outs += roster.receive(now, peer, Digest(bytes(256), ()))
    assert {rumour.name for out in outs for rumour in out.message.updates} == {"me"}
    roster.receive(now, peer, Ack(0, (PEER,)))  # to what it asked before
    assert roster.is_away(now)
    roster.receive(now, peer, Ack(roster.local.seq, (PEER,)))
    assert not roster.is_away(now) and list(roster.members()) == ["me", "peer"]


def test_time_in_which_a_node_did_not_look_is_nobodys_silence(roster: Membership) -> None:
    now, asked = 0.0, [0]
    while len(asked) == len(set(asked)):  # until it asks again what was not answered
        asked += [out.message.seq for out in roster.tick(now) if isinstance(out.message, Ping)]
        now += 0.1
    roster.tick(now + 1.9)
    assert roster.members()["peer"].state is ALIVE
    for tick in range(20):
        roster.tick(now + 1.9 + tick / 10)
    assert roster.members()["peer"].state is SUSPECT


def test_a_suspected_node_is_asked_again_before_it_is_buried(roster: Membership) -> None:
    told(roster, MemberUpdate("x", "ax", 3, 0, SUSPECT, 0, ("me", "peer")))
    outs = [out for tick in range(39) for out in roster.tick(tick / 10) if out.to == "x"]
    assert len({out.message.seq for out in outs if isinstance(out.message, Ping)}) > 4  # with two probes
    assert roster.members()["x"].state is SUSPECT


def test_what_is_said_at_once_is_bounded_however_many_there_are_and_ask(roster: Membership) -> None:
    for number in range(200):
        told(roster, MemberUpdate(f"n{number}", "a", 3, 0, ALIVE, 0, ()))
    outs = [out for _ in range(20) for out in roster.receive(0.0, Sender("peer", 1), Digest(bytes(256), ()))]
    sizes = [len(msgspec.msgpack.encode(out.message)) for out in outs]
    assert (
        max(sizes) <= dissemination.GOSSIP_BYTES_MAX + 300
        and sum(sizes) <= dissemination.GOSSIP_BYTES_PER_S + 20 * 300
    )


def test_a_greeting_is_answered_so_often_and_never_believed(roster: Membership) -> None:
    before = roster.members()
    answers = [
        roster.reply_to_join(0.0, Sender(f"n{n}", 1), Join(1)) for n in range(2 * joining.JOIN_REPLIES_PER_S)
    ]
    assert sum(map(len, answers)) == joining.JOIN_REPLIES_PER_S
    assert roster.reply_to_join(2.0, Sender("n1", 1), Ping(1, ())) == []
    assert roster.receive(2.0, Sender("n1", 1), Join(1)) == []
    [answer] = roster.reply_to_join(2.0, Sender("n1", 1), Join(1))
    assert isinstance(answer, JoinReply) and len(answer.updates) == 1 and roster.members() == before


def sealed(start: int = 1, to: str = "b", to_start: int = 7, key: Key = KEYS[0]) -> bytes:
    return Envelope(Sender("a", start), [key]).seal(to, to_start, b"payload")


REFUSED: dict[str, tuple[type[FleetError], bytes]] = {
    "forged": (env.ForgedError, sealed()[:-1] + b"!"),
    "cut": (env.ForgedError, sealed()[:-1]),
    "cut short": (env.MalformedError, sealed()[:20]),
    "oversized": (env.OversizedError, sealed() + bytes(env.DATAGRAM_BYTES_MAX)),
    "other version": (env.UnknownVersionError, b"\x09" + sealed()[1:]),
    "other key": (env.UnknownKeyError, sealed(key=Key(2, b"k" * 16))),
    "changed key": (env.ForgedError, sealed(key=Key(1, b"c" * 16))),
    "other name": (env.NotForMeError, sealed(to="c")),
    "earlier start of the receiver": (env.NotForMeError, sealed(to_start=6)),
    "earlier start of the sender": (env.ReplayedError, sealed(start=0)),
    "again": (env.ReplayedError, sealed()),
}


@pytest.mark.parametrize(("error", "data"), REFUSED.values(), ids=REFUSED)
def test_what_must_not_be_heard_is_refused(error: type[FleetError], data: bytes) -> None:
    receiver = Envelope(Sender("b", 7), KEYS)
    assert receiver.open(sealed()).payload == b"payload"
    with pytest.raises(error) as refusal:
        receiver.open(data)
    assert refusal.type is error and refusal.value.remedy and refusal.value.where


def test_order_may_change_within_the_window_and_senders_are_bounded() -> None:
    sender, receiver = Envelope(Sender("a", 1), KEYS), Envelope(Sender("b", 7), KEYS)
    data = [sender.seal("b", 7, b"") for _ in range(env.REPLAY_WINDOW + 2)]
    assert [receiver.open(data[at]).is_join for at in (1, -1, 2)] == [False] * 3
    for at in (0, 1, 2, -1):
        with pytest.raises(env.ReplayedError):
            receiver.open(data[at])
    assert [receiver.open(greeting).is_join for greeting in [sender.seal("", 0, b"")] * 2] == [True, True]
    sender._sequence = 1 << 62  # as one that lies
    receiver.open(sender.seal("b", 7, b""))
    for number in range(env.SENDERS_MAX):
        receiver.open(Envelope(Sender(f"n{number}", 1), KEYS).seal("b", 7, b""))
    assert receiver.open(data[-1])  # what forgetting costs


def test_what_can_not_be_sealed_is_refused_and_a_rolling_change_of_keys_loses_nothing() -> None:
    net = Net(5)
    new, sealing = Key(2, b"n" * 16), net.places["a0"].envelope
    room = sealing.payload_max("b")
    assert len(sealing.seal("b", 7, bytes(room))) == env.DATAGRAM_BYTES_MAX
    for refused, to, size in ((env.OversizedError, "b", room + 1), (env.MalformedError, "n" * 65, 0)):
        with pytest.raises(refused):
            sealing.seal(to, 7, bytes(size))
    for keys in ([], [Key(1, b"short")], [*KEYS, *KEYS], [Key(1 << 16, b"k" * 16)]):
        with pytest.raises(env.UnusableKeysError):
            sealing.replace_keys(keys)
    for keys in ([*KEYS, new], [new, *KEYS], [new]):
        for node in net.up():
            node.envelope.replace_keys(keys)
            net.run(0.3)
    assert not any(node.refused for node in net.up())


ACCUSERS = st.sets(st.sampled_from("abcdef"), max_size=4).map(lambda names: tuple(sorted(names)))
PLACES, STATES, TIMES = (
    st.sampled_from(["a1", "a2"]),
    st.sampled_from(MemberState),
    st.sampled_from([0.0, 1.0]),
)
FEW = st.integers(0, 1)
RECORDS = st.builds(Member, st.just("x"), PLACES, FEW, FEW, STATES, TIMES, ACCUSERS)


@given(RECORDS, RECORDS, RECORDS)
def test_joining_records_is_commutative_associative_and_idempotent(a: Member, b: Member, c: Member) -> None:
    assert merge(a, b) == merge(b, a) and merge(a, a) == a
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(a, b).version == max(a.version, b.version)
