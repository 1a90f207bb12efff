"""How a node finds the others from its seeds, and how joins are answered. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

from notchjunction.fleet.envelope import Sender
from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import Join, JoinReply, Message

JOIN_INTERVAL_MIN_S = 0.5  # to the second join while alone, then twice as long each time
JOIN_INTERVAL_MAX_S = 10.0  # between joins at most, and to one seed that is not in view
JOIN_SEEDS = 3  # seeds joined at once
JOIN_REPLIES_PER_S = 50  # at most; a fleet that starts at once is complete within seconds


class Joining:
    """Sends joins to the seeds, and answers those of others."""

    def __init__(self, local: LocalNode, table: MemberTable, seeds: Sequence[str]) -> None:
        self._local = local
        self._table = table
        self._seeds = [seed for seed in seeds if seed != local.address]
        self._next_at, self._interval = -math.inf, JOIN_INTERVAL_MIN_S
        self._replied_at: deque[float] = deque(maxlen=JOIN_REPLIES_PER_S)

    def restart(self, now: float) -> None:
        """Send joins from now on as at a start."""
        self._next_at, self._interval = now, JOIN_INTERVAL_MIN_S

    def due_joins(self, now: float) -> list[tuple[str, Message]]:
        """The joins to send, with the addresses they go to."""
        if now < self._next_at:
            return []
        local, live = self._local, self._table.live()
        if live and local.recovery is None:
            # Guards against sides that have forgotten each other in a long partition.
            known = {self._table.records[name].address for name in live}
            addresses = local.sample([seed for seed in self._seeds if seed not in known], 1)
            self._interval, wait = JOIN_INTERVAL_MIN_S, JOIN_INTERVAL_MAX_S
        else:
            addresses = local.sample(self._seeds, JOIN_SEEDS)
            wait = self._interval
            self._interval = min(2 * wait, JOIN_INTERVAL_MAX_S)
        if local.namesake_joins:
            local.namesake_joins -= 1
            addresses.append(local.namesake_address)
        self._next_at = now + wait * local.random.uniform(0.5, 1.0)
        seq = local.next_seq()
        return [(address, Join(seq)) for address in addresses]

    def reply(self, now: float, sender: Sender, message: Message) -> list[Message]:
        """Answers to a message of a sender that does not know this start of this node."""
        while self._replied_at and now - self._replied_at[0] > 1.0:
            self._replied_at.popleft()
        # Guards against repeated joins: nothing in them is believed, and so many a second are answered.
        is_full = len(self._replied_at) == JOIN_REPLIES_PER_S
        if sender == self._local.me or not isinstance(message, Join) or is_full:
            return []
        self._replied_at.append(now)
        me = self._local.me
        if sender.name == me.name and sender.start > me.start:
            self._local.report_replaced(sender.start)  # the seal alone proves that, and it stays true
        # Guards against being used to multiply datagrams: no more than two records.
        names = dict.fromkeys([me.name, sender.name])
        records = [self._table.records[name] for name in names if name in self._table.records]
        return [JoinReply(message.seq, tuple(record.to_update(now) for record in records))]
