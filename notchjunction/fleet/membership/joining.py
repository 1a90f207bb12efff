"""Joining: how a node finds the others through its seeds, and how joins are answered. Pure."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

from notchjunction.fleet.envelope import Sender
from notchjunction.fleet.membership.local_node import LocalNode
from notchjunction.fleet.membership.member_table import MemberTable
from notchjunction.fleet.membership.messages import Join, JoinReply, Message

JOIN_INTERVAL_MIN_S = 0.5  # before the second join of a node that knows no other; doubles each time
JOIN_INTERVAL_MAX_S = 10.0  # also between joins to seeds that are not among the known addresses
JOIN_SEEDS = 3  # seeds that get a join at once
JOIN_REPLIES_PER_S = 50  # maximum; nodes that all start at once still find each other within seconds


class Joining:
    """Sends joins to the seeds, and answers those of others."""

    def __init__(self, local: LocalNode, table: MemberTable, seeds: Sequence[str]) -> None:
        self._local = local
        self._table = table
        self._seeds = [seed for seed in seeds if seed != local.address]
        self._next_at, self._interval = -math.inf, JOIN_INTERVAL_MIN_S
        self._replied_at: deque[float] = deque(maxlen=JOIN_REPLIES_PER_S)

    def restart(self, now: float) -> None:
        """Send the next joins with the intervals of a node that has just started."""
        self._next_at, self._interval = now, JOIN_INTERVAL_MIN_S

    def due_joins(self, now: float) -> list[tuple[str, Message]]:
        """Return the joins to send, each with the address that it goes to."""
        if now < self._next_at:
            return []
        local, live = self._local, self._table.live()
        if live and local.recovery is None:
            # Guards against sides of a long partition that have forgotten each other.
            known_addresses = {self._table.records[name].address for name in live}
            addresses = local.sample([seed for seed in self._seeds if seed not in known_addresses], 1)
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
        """Return the replies to a message from a sender that does not know this start of this node."""
        while self._replied_at and now - self._replied_at[0] > 1.0:
            self._replied_at.popleft()
        # Guards against replayed joins: nothing in them is trusted, and the rate of replies is limited.
        is_full = len(self._replied_at) == JOIN_REPLIES_PER_S
        if sender == self._local.me or not isinstance(message, Join) or is_full:
            return []
        self._replied_at.append(now)
        me = self._local.me
        if sender.name == me.name and sender.start > me.start:
            self._local.report_replaced(sender.start)  # the MAC proves that, even in a replayed join
        # Guards against amplification, as a reply may go to a spoofed address: two records at most.
        names = dict.fromkeys([me.name, sender.name])
        records = [self._table.records[name] for name in names if name in self._table.records]
        return [JoinReply(message.seq, tuple(record.to_update(now) for record in records))]
