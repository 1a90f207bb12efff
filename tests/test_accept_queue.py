"""Clients that are queued while there is no room for them hear so in time."""

from __future__ import annotations

import asyncio
import time

import pytest

from notchjunction.addresses import Address
from notchjunction.net import client_listener, descriptor_pressure, request_intake
from tests.helpers import Client, Peer, running
from tests.test_net import run

CONNECTED = 8  # clients that a node with 28 descriptors serves or rejects at once
QUEUED = 8  # clients that say nothing and take the places that become free
DEPARTURE_INTERVAL_S = 0.2  # shorter than the wait for room
MAX_ANSWER_S = client_listener.ROOM_TIMEOUT_S + 0.5  # a request is lost half a second past its time


async def seconds_until_answered(address: Address) -> float:
    began_at = time.monotonic()
    client = await Client().open(address)
    client.ask()
    async with asyncio.timeout(10):
        await client._reader.read(1)
    client.writer.close()
    return time.monotonic() - began_at


def test_clients_queued_one_behind_another_wait_for_room_only_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a wait for room that begins anew with each client that finds some."""
    for name in ("MIN_SILENT_S", "MIN_IDLE_S", "MIN_SILENT_PAST_MARGIN_S", "MIN_IDLE_PAST_MARGIN_S"):
        monkeypatch.setattr(descriptor_pressure, name, 60.0)
    for name in ("HEAD_TIMEOUT_S", "REJECTED_TIMEOUT_S"):
        monkeypatch.setattr(request_intake, name, 60.0)

    async def scenario() -> None:
        async with Peer() as peer, running(peer, sockets=28) as (_, address):
            connected = [await Client().open(address) for _ in range(CONNECTED)]
            silent = [await Client().open(address) for _ in range(QUEUED)]
            last = asyncio.create_task(seconds_until_answered(address))
            while connected and not last.done():
                await asyncio.sleep(DEPARTURE_INTERVAL_S)
                connected.pop().writer.close()
            assert await last < MAX_ANSWER_S
            for client in (*connected, *silent):
                client.writer.close()

    run(scenario())
