"""A node's process does without OpenSSL."""

from __future__ import annotations

from pathlib import Path

import pytest

from notchjunction.net.tls_stub import SSLContext
from tests.helpers import Peer, Program, configuration, rows
from tests.test_net import run


def test_node_process_loads_no_openssl(tmp_path: Path) -> None:
    """Guards against 5 MB of memory for TLS, which a node never uses."""

    async def scenario() -> None:
        async with Peer() as peer:
            document = configuration(layers=["web"])
            document["known"] = {"index": 1, "snapshot": True, "endpoints": rows(peer)}
            async with Program(tmp_path, document) as program:
                await program.says("ready")
                libraries = Path(f"/proc/{program._process.pid}/maps").read_text()
                assert "libssl" not in libraries and "libcrypto" not in libraries

    run(scenario())


def test_use_of_tls_without_openssl_is_an_error() -> None:
    with pytest.raises(NotImplementedError):
        SSLContext()
