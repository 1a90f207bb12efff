"""A caller that closes or cancels has gone: whatever moment it chooses, nothing more is sent on for it."""

from __future__ import annotations

from notchjunction.interface import Result
from tests.helpers import Peer
from tests.test_net import JOB, Dispatches, run


def test_a_connection_that_nothing_was_written_on_stays_fit() -> None:
    async def story() -> None:
        async with Peer() as peer:
            dispatches = Dispatches(peer)
            assert (await dispatches.send()).ended.result is Result.HONOURED
            refused = await dispatches.servers.dispatch("s0", JOB, 2.0, may_write=lambda _: False)
            assert refused.ended.result is Result.NEVER_SENT
            assert (await dispatches.send()).ended.result is Result.HONOURED
            assert len(peer.requests) == 2 and peer.connections == 1

    run(story())
