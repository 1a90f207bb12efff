"""Links between node processes on loopback, for datagrams and streams, with scheduled faults.

Each node has a public address, which its peers know, and a private one, where its process listens. A datagram
that arrives at one node's public address from another node's private one belongs to the link between the two.
It is forwarded to the private address, from the sender's public one. So a node sees each peer at the address
that it knows.
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

REORDER_DELAY_S = 0.05  # delay of a reordered datagram; longer than the gaps in a burst
READ_SIZE = 64 * 1024  # bytes per read from a stream
MAX_CHUNKS_IN_FLIGHT = 16  # of a stream in one direction; above that its sender has to wait


@dataclass(frozen=True, slots=True)
class Impairment:
    """The impairment of one direction of a link; `delay` and `cut` also affect streams. Shares: 0 to 1."""

    loss: float = 0.0  # share of datagrams that are lost
    delay: float = 0.0  # s
    jitter: float = 0.0  # s at most, uniform for each datagram, in addition; so datagrams may be reordered
    repeats: float = 0.0  # share of datagrams that arrive twice
    reorder: float = 0.0  # share of datagrams that arrive after later ones
    cut: bool = False  # no datagram arrives; streams stop


NO_IMPAIRMENT = Impairment()


class Kind(Enum):
    """The property of a link that a fault sets to its `size`; CUT has no size."""

    CUT = "cut"
    LOSE = "lose"
    DELAY = "delay"
    JITTER = "jitter"
    REPEAT = "repeat"
    REORDER = "reorder"


APPLY: dict[Kind, Callable[[Impairment, float], Impairment]] = {
    Kind.CUT: lambda base, _: replace(base, cut=True),
    Kind.LOSE: lambda base, size: replace(base, loss=size),
    Kind.DELAY: lambda base, size: replace(base, delay=size),
    Kind.JITTER: lambda base, size: replace(base, jitter=size),
    Kind.REPEAT: lambda base, size: replace(base, repeats=size),
    Kind.REORDER: lambda base, size: replace(base, reorder=size),
}


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of links between nodes of different `sides`, and of `pairs` of a source and a target.

    Without sides and pairs it affects all links. `at` and `until` are in seconds from the start of the
    schedule.
    """

    kind: Kind
    at: float = 0.0
    until: float = math.inf
    size: float = 1.0
    sides: Sequence[Collection[str]] = ()
    pairs: Sequence[tuple[str, str]] = ()

    def applies_to(self, source: str, to: str) -> bool:
        """Returns whether the fault affects the direction from `source` to `to`."""
        on_different_sides = any(
            source in side and to in other for side, other in permutations(self.sides, 2)
        )
        return on_different_sides or (source, to) in self.pairs or not (self.sides or self.pairs)


class Count(Enum):
    """The counters of a link.

    Each datagram is SEEN, and one of PASSED, LOST and CUT; one that PASSED may also be REPEATED and DELAYED.
    """

    SEEN = auto()
    PASSED = auto()
    LOST = auto()
    CUT = auto()
    REPEATED = auto()
    DELAYED = auto()


class Link:
    """One direction between two nodes.

    It has its own random generator, so with the same seed the same datagrams are lost, repeated and delayed.
    """

    def __init__(self, seed: str) -> None:
        self.datagrams: Counter[Count] = Counter()
        self.bytes: Counter[Count] = Counter()
        self._random = Random(seed)
        self._impairment = NO_IMPAIRMENT
        self._passable = asyncio.Event()
        self._passable.set()

    @property
    def impairment(self) -> Impairment:
        """The present impairment."""
        return self._impairment

    @impairment.setter
    def impairment(self, impairment: Impairment) -> None:
        self._impairment = impairment
        if impairment.cut:
            self._passable.clear()
        else:
            self._passable.set()

    def copy_delays(self, size: int) -> list[float]:
        """Counts a datagram of `size` bytes; returns the delays (s) of its copies, none if it is lost."""
        impairment = self._impairment
        # Guards against a fault that shifts the random numbers of later datagrams: each datagram draws four.
        loss, repeat, reorder, jitter = (self._random.random() for _ in range(4))
        delay = (
            impairment.delay
            + impairment.jitter * jitter
            + (REORDER_DELAY_S if reorder < impairment.reorder else 0.0)
        )
        if impairment.cut:
            counts = [Count.CUT]
        elif loss < impairment.loss:
            counts = [Count.LOST]
        else:
            counts = [Count.PASSED]
            counts += [Count.REPEATED] if repeat < impairment.repeats else []
            counts += [Count.DELAYED] if delay else []
        for count in (Count.SEEN, *counts):
            self.datagrams[count] += 1
            self.bytes[count] += size
        return [delay for count in counts if count in (Count.PASSED, Count.REPEATED)]

    async def wait_while_cut(self) -> bool:
        """Waits while the link is cut; returns whether it was."""
        was_cut = self._impairment.cut
        while self._impairment.cut:
            await self._passable.wait()
        return was_cut


class _PublicAddress(asyncio.DatagramProtocol):
    """The socket at a node's public address."""

    def __init__(self, on_datagram: Callable[[bytes, Address], None]) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Passes on the datagram and its sender's address."""
        self._on_datagram(data, addr)


class Links:
    """All links between the named nodes.

    Active faults of different kinds combine; of several of the same kind the last to begin applies.
    """

    def __init__(self, names: Sequence[str], seed: int = 0) -> None:
        self.strays = 0  # datagrams from an unknown sender, or to a node that has not joined
        self._names = tuple(names)
        self._links = {pair: Link(f"{seed} {pair}") for pair in permutations(names, 2)}
        self._base_impairments = dict.fromkeys(self._links, NO_IMPAIRMENT)
        self._active_faults: list[LinkFault] = []
        self._transports: dict[str, asyncio.DatagramTransport] = {}
        self._private: dict[str, Address] = {}
        self._timers: list[asyncio.TimerHandle] = []
        self._relays: list[StreamRelay] = []

    async def open(self) -> Self:
        """Opens the public addresses."""
        loop = asyncio.get_running_loop()
        for name in self._names:
            protocol = partial(_PublicAddress, partial(self._on_datagram, name))
            self._transports[name], _ = await loop.create_datagram_endpoint(protocol, local_addr=(HOST, 0))
        return self

    async def close(self) -> None:
        """Ends the schedule and closes all sockets."""
        for timer in self._timers:
            timer.cancel()
        for transport in self._transports.values():
            transport.close()
        for relay in self._relays:
            await relay.close()

    def public(self, name: str) -> Address:
        """Returns the address at which a node's peers reach it."""
        address: Address = self._transports[name].get_extra_info("sockname")
        return address

    def join(self, name: str, private: Address) -> None:
        """Sets the address at which a node's process listens and from which it sends."""
        self._private[name] = private

    def link(self, source: str, to: str) -> Link:
        """Returns the link from one node to another."""
        return self._links[source, to]

    async def open_stream(self, source: str, to: str, address: Address, resets: bool = False) -> Address:
        """Returns a TCP address at which `source` reaches `address` of `to`, over their links."""
        relay = StreamRelay(address, self.link(source, to), self.link(to, source), resets)
        self._relays.append(relay)
        return await relay.open()

    # Faults.

    def impair(self, source: str, to: str, impairment: Impairment) -> None:
        """Sets the impairment of a direction without an active fault."""
        self._base_impairments[source, to] = impairment
        self._apply_faults()

    def partition(self, *sides: Collection[str]) -> None:
        """Cuts the links between nodes of different sides; nodes on no side keep all links."""
        self.begin_fault(LinkFault(Kind.CUT, sides=sides))

    def partition_one_way(self, sources: Collection[str], targets: Collection[str]) -> None:
        """Cuts the direction from each source to each target."""
        pairs = [(source, target) for source in sources for target in targets if source != target]
        self.begin_fault(LinkFault(Kind.CUT, pairs=pairs))

    def heal(self) -> None:
        """Ends all cuts; other faults stay active."""
        self._active_faults = [fault for fault in self._active_faults if fault.kind is not Kind.CUT]
        self._apply_faults()

    def begin_fault(self, fault: LinkFault) -> None:
        """Makes a fault active until `end_fault`."""
        self._active_faults.append(fault)
        self._apply_faults()

    def end_fault(self, fault: LinkFault) -> None:
        """Ends an active fault."""
        # Guards against a fault that `heal` has already ended.
        if fault in self._active_faults:
            self._active_faults.remove(fault)
            self._apply_faults()

    def schedule(self, faults: Iterable[LinkFault]) -> None:
        """Schedules the beginning and end of faults, in seconds from now."""
        loop = asyncio.get_running_loop()
        for fault in faults:
            self._timers.append(loop.call_later(fault.at, self.begin_fault, fault))
            if fault.until < math.inf:
                self._timers.append(loop.call_later(fault.until, self.end_fault, fault))

    def _apply_faults(self) -> None:
        for pair, link in self._links.items():
            impairment = self._base_impairments[pair]
            for fault in self._active_faults:
                if fault.applies_to(*pair):
                    impairment = APPLY[fault.kind](impairment, fault.size)
            link.impairment = impairment

    # Datagrams.

    def _on_datagram(self, to: str, data: bytes, sender: Address) -> None:
        source = next((name for name, private in self._private.items() if private == sender), to)
        if source == to or to not in self._private:
            self.strays += 1
            return
        for delay in self._links[source, to].copy_delays(len(data)):
            if delay:
                asyncio.get_running_loop().call_later(delay, self._forward, source, to, data)
            else:
                self._forward(source, to, data)

    def _forward(self, source: str, to: str, data: bytes) -> None:
        transport = self._transports[source]
        # Guards against sending a delayed datagram after `close`.
        if not transport.is_closing():
            transport.sendto(data, self._private[to])


# Chunks of a stream with the time at which each is due; empty bytes end the stream, None resets it.
ChunkQueue = asyncio.Queue[tuple[float, bytes | None]]


class StreamRelay:
    """Forwards connections to one address, each direction over a link.

    While a link is cut, bytes, ends and resets wait, and new connections are accepted but not forwarded.
    After the cut they continue; with `resets`, those that had something to send meanwhile are reset instead.
    """

    def __init__(self, target: Address, to_target: Link, from_target: Link, resets: bool = False) -> None:
        self._target, self._resets = target, resets
        self._to_target, self._from_target = to_target, from_target
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> Address:
        """Listens on a free port; returns the address."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        address: Address = self._listener.sockets[0].getsockname()
        return address

    async def close(self) -> None:
        """Stops listening and ends all connections."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        writers = [writer]
        try:
            await self._wait_while_cut(self._to_target)
            await self._wait_while_cut(self._from_target)
            target_reader, target_writer = await asyncio.open_connection(*self._target)
            writers.append(target_writer)
            async with asyncio.TaskGroup() as both_ways:
                for source, to, link in (
                    (reader, target_writer, self._to_target),
                    (target_reader, writer, self._from_target),
                ):
                    queue: ChunkQueue = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
                    both_ways.create_task(self._read(source, link, queue))
                    both_ways.create_task(self._write(queue, link, to))
        except* OSError:
            for open_writer in writers:
                reset(open_writer)
        finally:
            self._tasks.discard(task)
            for open_writer in writers:
                open_writer.close()

    async def _read(self, reader: asyncio.StreamReader, link: Link, queue: ChunkQueue) -> None:
        chunk: bytes | None = b"some"
        while chunk:
            try:
                chunk = await reader.read(READ_SIZE)
            except OSError:
                chunk = None
            await queue.put((asyncio.get_running_loop().time() + link.impairment.delay, chunk))

    async def _write(self, queue: ChunkQueue, link: Link, writer: asyncio.StreamWriter) -> None:
        chunk: bytes | None = b"some"
        while chunk:
            due, chunk = await queue.get()
            await asyncio.sleep(due - asyncio.get_running_loop().time())
            await self._wait_while_cut(link)
            if chunk and not writer.is_closing():
                writer.write(chunk)
                # The other direction reports a failure here to the sender, over its own link.
                with suppress(OSError):
                    await writer.drain()
        if chunk is None:
            reset(writer)
        else:
            writer.write_eof()

    async def _wait_while_cut(self, link: Link) -> None:
        if await link.wait_while_cut() and self._resets:
            raise ConnectionResetError
