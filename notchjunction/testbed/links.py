"""Links between node processes on loopback, for datagrams and for streams, which fail as they are told to.

Each node has a public address here, which its peers are told, and a private one, where its process listens.
What comes to one node's public address from another's private one is on the link between the two. It goes on
to the private address from the sender's public one, so a node sees each peer where it was told that it is.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from contextlib import suppress
from dataclasses import dataclass, replace
from enum import Enum, auto
from functools import partial
from itertools import permutations
from random import Random
from typing import Self

from notchjunction.addresses import Address
from notchjunction.testbed.server import HOST, reset

HELD_BACK = 0.05  # s that a datagram is longer on its way which later ones overtake; over the gaps of a burst
PIECE = 64 * 1024  # bytes of a stream read at once
PIECES_MOST = 16  # of a stream under way in one direction; then its sender has to wait, as on any network


@dataclass(frozen=True, slots=True)
class Impairment:
    """What befalls one direction of a link; streams know delay and cut alone. Shares from 0 to 1."""

    loss: float = 0.0  # share of datagrams that never arrive
    delay: float = 0.0  # s on the way
    jitter: float = 0.0  # s more at most, drawn evenly for each; datagrams overtake one another
    repeats: float = 0.0  # share that arrive twice
    reorder: float = 0.0  # share that are held back behind later ones
    cut: bool = False  # no datagram arrives; streams stand still


CALM = Impairment()


class Kind(Enum):
    """What goes wrong; `size` is what it is set to while the fault lasts, and nothing for a cut."""

    CUT = "cut"
    LOSE = "lose"
    DELAY = "delay"
    JITTER = "jitter"
    REPEAT = "repeat"
    REORDER = "reorder"


TABLE: dict[Kind, Callable[[Impairment, float], Impairment]] = {
    Kind.CUT: lambda before, _: replace(before, cut=True),
    Kind.LOSE: lambda before, size: replace(before, loss=size),
    Kind.DELAY: lambda before, size: replace(before, delay=size),
    Kind.JITTER: lambda before, size: replace(before, jitter=size),
    Kind.REPEAT: lambda before, size: replace(before, repeats=size),
    Kind.REORDER: lambda before, size: replace(before, reorder=size),
}


@dataclass(frozen=True, slots=True)
class LinkFault:
    """On the links between nodes of different `sides`, both ways, and on `pairs`, from one to another.

    On all links where neither is given. `at` and `until` are seconds after the schedule began.
    """

    kind: Kind
    at: float = 0.0
    until: float = math.inf
    size: float = 1.0
    sides: Sequence[Collection[str]] = ()
    pairs: Sequence[tuple[str, str]] = ()

    def is_on(self, source: str, to: str) -> bool:
        apart = any(source in one and to in other for one, other in permutations(self.sides, 2))
        return apart or (source, to) in self.pairs or not (self.sides or self.pairs)


class Count(Enum):
    """What a link counts: of each datagram SEEN it is one of the next three, and may be what follows too."""

    SEEN = auto()
    PASSED = auto()
    LOST = auto()
    CUT = auto()
    REPEATED = auto()
    DELAYED = auto()


class Link:
    """One direction between two nodes. All chance is its own, so the same arrivals have the same fate."""

    def __init__(self, seed: str) -> None:
        self.datagrams: Counter[Count] = Counter()
        self.bytes: Counter[Count] = Counter()
        self._random = Random(seed)
        self._impairment = CALM
        self._whole = asyncio.Event()
        self._whole.set()

    @property
    def impairment(self) -> Impairment:
        return self._impairment

    @impairment.setter
    def impairment(self, told: Impairment) -> None:
        self._impairment = told
        (self._whole.clear if told.cut else self._whole.set)()

    def judge(self, size: int) -> list[float]:
        """Seconds on the way of each copy of a datagram of so many bytes; none where it never arrives."""
        told = self._impairment
        # Guards against a fault that shifts the chances of all after it: each datagram draws as many.
        loss, repeat, reorder, jitter = (self._random.random() for _ in range(4))
        seconds = told.delay + told.jitter * jitter + (HELD_BACK if reorder < told.reorder else 0.0)
        if told.cut:
            counts = [Count.CUT]
        elif loss < told.loss:
            counts = [Count.LOST]
        else:
            counts = [Count.PASSED]
            counts += [Count.REPEATED] if repeat < told.repeats else []
            counts += [Count.DELAYED] if seconds else []
        for count in (Count.SEEN, *counts):
            self.datagrams[count] += 1
            self.bytes[count] += size
        return [seconds for count in counts if count in (Count.PASSED, Count.REPEATED)]

    async def whole(self) -> bool:
        """Waits for as long as it is cut; whether it was."""
        cut = self._impairment.cut
        while self._impairment.cut:
            await self._whole.wait()
        return cut


class _Door(asyncio.DatagramProtocol):
    """A node's public address."""

    def __init__(self, came: Callable[[bytes, Address], None]) -> None:
        self._came = came

    def datagram_received(self, data: bytes, addr: Address) -> None:
        self._came(data, addr)


class Links:
    """All links between the nodes of these names. Faults add up; of one kind the last to begin holds."""

    def __init__(self, names: Sequence[str], seed: int = 0) -> None:
        self.strays = 0  # datagrams from no node here, or to one that has not joined
        self._names = tuple(names)
        self._links = {pair: Link(f"{seed} {pair}") for pair in permutations(names, 2)}
        self._told = dict.fromkeys(self._links, CALM)
        self._lasting: list[LinkFault] = []
        self._doors: dict[str, asyncio.DatagramTransport] = {}
        self._private: dict[str, Address] = {}
        self._timers: list[asyncio.TimerHandle] = []
        self._relays: list[StreamRelay] = []

    async def open(self) -> Self:
        loop = asyncio.get_running_loop()
        for name in self._names:
            door = partial(_Door, partial(self._came, name))
            self._doors[name], _ = await loop.create_datagram_endpoint(door, local_addr=(HOST, 0))
        return self

    async def close(self) -> None:
        for timer in self._timers:
            timer.cancel()
        for door in self._doors.values():
            door.close()
        for relay in self._relays:
            await relay.close()

    def public(self, name: str) -> Address:
        """Where its peers find it."""
        address: Address = self._doors[name].get_extra_info("sockname")
        return address

    def join(self, name: str, private: Address) -> None:
        """Its process listens there, and sends from there; a later word replaces it."""
        self._private[name] = private

    def link(self, source: str, to: str) -> Link:
        return self._links[source, to]

    async def stream(self, source: str, to: str, address: Address, resets: bool = False) -> Address:
        """Where `source` finds by TCP what `to` has at `address`, over the links between the two."""
        relay = StreamRelay(address, self.link(source, to), self.link(to, source), resets)
        self._relays.append(relay)
        return await relay.open()

    # What goes wrong.

    def impair(self, source: str, to: str, told: Impairment) -> None:
        """What befalls this direction where no fault lasts."""
        self._told[source, to] = told
        self._settle()

    def cut(self, *sides: Collection[str]) -> None:
        """Nothing passes between nodes of different sides; those of no side hear all."""
        self.begin(LinkFault(Kind.CUT, sides=sides))

    def cut_one_way(self, sources: Collection[str], to: Collection[str]) -> None:
        pairs = [(one, other) for one in sources for other in to if one != other]
        self.begin(LinkFault(Kind.CUT, pairs=pairs))

    def heal(self) -> None:
        """No cut lasts on; what else is wrong does."""
        self._lasting = [fault for fault in self._lasting if fault.kind is not Kind.CUT]
        self._settle()

    def begin(self, fault: LinkFault) -> None:
        self._lasting.append(fault)
        self._settle()

    def end(self, fault: LinkFault) -> None:
        # Guards against one that has been healed before its time.
        if fault in self._lasting:
            self._lasting.remove(fault)
            self._settle()

    def play(self, schedule: Iterable[LinkFault]) -> None:
        """From now on, by the loop's time."""
        loop = asyncio.get_running_loop()
        for fault in schedule:
            self._timers.append(loop.call_later(fault.at, self.begin, fault))
            if fault.until < math.inf:
                self._timers.append(loop.call_later(fault.until, self.end, fault))

    def _settle(self) -> None:
        for pair, link in self._links.items():
            found = self._told[pair]
            for fault in self._lasting:
                if fault.is_on(*pair):
                    found = TABLE[fault.kind](found, fault.size)
            link.impairment = found

    # Datagrams.

    def _came(self, to: str, data: bytes, sender: Address) -> None:
        source = next((name for name, private in self._private.items() if private == sender), to)
        if source == to or to not in self._private:
            self.strays += 1
            return
        for seconds in self._links[source, to].judge(len(data)):
            if seconds:
                asyncio.get_running_loop().call_later(seconds, self._forward, source, to, data)
            else:
                self._forward(source, to, data)

    def _forward(self, source: str, to: str, data: bytes) -> None:
        door = self._doors[source]
        # Guards against what is under way as all ends.
        if not door.is_closing():
            door.sendto(data, self._private[to])


Line = asyncio.Queue[tuple[float, bytes | None]]  # when a piece is due, and it; empty: the end; None: a reset


class StreamRelay:
    """Connections to one address, each direction over a link.

    While a link is cut it holds bytes, ends and resets back, and new connections are let in but not heard.
    Once it is whole they go on, or with `resets` those that had something to say meanwhile are reset.
    """

    def __init__(self, to: Address, there: Link, back: Link, resets: bool = False) -> None:
        self._to, self._there, self._back, self._resets = to, there, back, resets
        self._serving: set[asyncio.Task[None]] = set()

    async def open(self) -> Address:
        self._listening = await asyncio.start_server(self._serve, HOST, 0)
        address: Address = self._listening.sockets[0].getsockname()
        return address

    async def close(self) -> None:
        self._listening.close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        writers = [writer]
        try:
            await self._pass(self._there)
            await self._pass(self._back)
            far_reader, far_writer = await asyncio.open_connection(*self._to)
            writers.append(far_writer)
            async with asyncio.TaskGroup() as both_ways:
                for source, to, link in (
                    (reader, far_writer, self._there),
                    (far_reader, writer, self._back),
                ):
                    line: Line = asyncio.Queue(PIECES_MOST)
                    both_ways.create_task(self._take(source, link, line))
                    both_ways.create_task(self._give(line, link, to))
        except* OSError:
            for each in writers:
                reset(each)
        finally:
            self._serving.discard(task)
            for each in writers:
                each.close()

    async def _take(self, reader: asyncio.StreamReader, link: Link, line: Line) -> None:
        piece: bytes | None = b"some"
        while piece:
            try:
                piece = await reader.read(PIECE)
            except OSError:
                piece = None
            await line.put((asyncio.get_running_loop().time() + link.impairment.delay, piece))

    async def _give(self, line: Line, link: Link, writer: asyncio.StreamWriter) -> None:
        piece: bytes | None = b"some"
        while piece:
            due, piece = await line.get()
            await asyncio.sleep(due - asyncio.get_running_loop().time())
            await self._pass(link)
            if piece and not writer.is_closing():
                writer.write(piece)
                # What this side hears of its end goes back over its own link.
                with suppress(OSError):
                    await writer.drain()
        if piece is None:
            reset(writer)
        else:
            writer.write_eof()

    async def _pass(self, link: Link) -> None:
        if await link.whole() and self._resets:
            raise ConnectionResetError
