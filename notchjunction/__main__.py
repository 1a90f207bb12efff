"""Starts one node on sockets, by the environment that it is given."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import signal
import sys

from notchjunction.net import logs, node_input
from notchjunction.net.node import Node

log = logging.getLogger("notchjunction")


async def serve(told: node_input.NodeInput) -> None:
    await Node(told).run()


def main() -> int:
    # Guards against being ended by a request that comes before the node can answer it. One for new
    # configuration is kept until then.
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    parser = argparse.ArgumentParser(prog="notchjunction", description=__doc__)
    parser.add_argument("--log-level", default="INFO", help="of the standard error log (default: INFO)")
    logs.start(parser.parse_args().log_level.upper())
    try:
        told = node_input.read(os.environ)
    except (OSError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.error("no usable input", extra=logs.pairs(why=repr(error)))
        return 2
    try:
        asyncio.run(serve(told))
    except OSError as error:
        log.error("cannot listen", extra=logs.pairs(why=error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
