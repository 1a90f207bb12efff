"""Runs one node, configured by environment variables and the file that GW_CONFIG names."""

from __future__ import annotations

import signal

from notchjunction.net.tls_stub import leave_out_tls


def defer_signals() -> None:
    """Ignores SIGUSR1 and blocks SIGHUP until the node handles them.

    Guards against a signal that arrives during the start and ends the process by its default action. SIGUSR1
    (print counters) is dropped until then; SIGHUP (reload) stays pending and is delivered once unblocked.
    """
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})


if __name__ == "__main__":
    defer_signals()  # before the imports below, which take most of the start
    leave_out_tls()  # before the imports below, which would load it

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
HANDLED_SIGNALS = {signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT}


async def serve(config: node_config.NodeConfig) -> None:
    """Runs the node until it has shut down."""
    await Node(config).run()
    # Guards against an exit status other than 0: closing the loop removes the node's signal handlers.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


def check(file: str) -> int:
    """Validates a configuration file as a reload would, without a configuration in force to compare it with.

    Prints the errors; returns the exit status, 0 for a valid file.
    """
    try:
        validation.validate(validation.parse(Path(file).read_text(encoding="utf-8")))
    except validation.InvalidConfigurationError as invalid:
        for error in invalid.errors:
            print(f"{file}: {error}")
        return 1
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: {error}")
        return 1
    print(f"{file}: sound")
    return 0


def main() -> int:
    """Parses the arguments, and runs a node or checks a file.

    Returns:
        The exit status: 0, 1 if the node cannot listen or the checked file has errors, 2 for an unusable
        configuration.
    """
    defer_signals()
    parser = argparse.ArgumentParser(prog="notchjunction", description=__doc__)
    parser.add_argument(
        "--log-level", default="INFO", help="level of the log on standard error (default: INFO)"
    )
    parser.add_argument("--check", metavar="FILE", help="print the errors of a configuration file and exit")
    options = parser.parse_args()
    logs.configure_logging(options.log_level.upper())
    if options.check is not None:
        return check(options.check)
    try:
        config = node_config.load_config(os.environ)
    except validation.InvalidConfigurationError as invalid:
        for text in invalid.errors:
            log.error("invalid configuration", extra=logs.pairs(why=text))
        return 2
    except (OSError, KeyError, ValueError, TypeError, AttributeError) as error:
        log.error("unusable input", extra=logs.pairs(why=repr(error)))
        return 2
    try:
        with asyncio.Runner(loop_factory=ObservedLoop) as runner:
            runner.run(serve(config))
    except OSError as error:
        log.error("cannot listen", extra=logs.pairs(why=error))
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
