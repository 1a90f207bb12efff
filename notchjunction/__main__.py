"""Starts one node on sockets, by the environment that it is given."""

from __future__ import annotations

import signal


def hold_signals() -> None:
    """Guards against being ended by a request that comes before the node can answer it.

    One for counters is passed over, one for new configuration is kept until then.
    """
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


if __name__ == "__main__":
    hold_signals()  # also while the rest is loaded, which takes most of a start

# ruff: noqa: E402
import argparse
import asyncio
import logging
import os
import sys
from pathlib import Path

from notchjunction.config import node_config, validation
from notchjunction.net.event_loop import ObservedLoop
from notchjunction.node.node import Node
from notchjunction.telemetry import logs

log = logging.getLogger("notchjunction")
LATE = {signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT}


async def serve(told: node_config.NodeConfig) -> None:
    await Node(told).run()
    # Guards against another end than 0: the loop's close takes the node's handlers away.
    signal.pthread_sigmask(signal.SIG_BLOCK, LATE)


def check(file: str) -> int:
    """Whether a node in service would take the file at SIGHUP, as far as the file alone tells."""
    try:
        validation.validate(validation.parse(Path(file).read_text(encoding="utf-8")))
    except validation.InvalidConfigurationError as unfit:
        for error in unfit.errors:
            print(f"{file}: {error}")
        return 1
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: {error}")
        return 1
    print(f"{file}: sound")
    return 0


def main() -> int:
    hold_signals()
    parser = argparse.ArgumentParser(prog="notchjunction", description=__doc__)
    parser.add_argument("--log-level", default="INFO", help="of the standard error log (default: INFO)")
    parser.add_argument("--check", metavar="FILE", help="say what is wrong with a configuration, and end")
    asked = parser.parse_args()
    logs.configure_logging(asked.log_level.upper())
    if asked.check is not None:
        return check(asked.check)
    try:
        told = node_config.load_config(os.environ)
    except validation.InvalidConfigurationError as unfit:
        for each in unfit.errors:
            log.error("invalid configuration", extra=logs.pairs(why=each))
        return 2
    except (OSError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.error("unusable input", extra=logs.pairs(why=repr(error)))
        return 2
    try:
        with asyncio.Runner(loop_factory=ObservedLoop) as runner:
            runner.run(serve(told))
    except OSError as error:
        log.error("cannot listen", extra=logs.pairs(why=error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
