"""Keeps libraries that a node never uses out of its process, OpenSSL in particular.

A node speaks plain TCP. asyncio and Tornado import `ssl` all the same, and `hashlib` loads OpenSSL although
the digests that the node uses are built into Python. OpenSSL takes 5 MB, a sixth of the smallest memory
limit.
"""

from __future__ import annotations

import sys
from types import ModuleType

# Modules that Python's own libraries and Tornado import if they can, and do without if they cannot.
OPTIONAL_MODULES = ("_hashlib", "curses")


class SSLError(OSError):
    """Never raised, as no connection uses TLS."""


class SSLContext:
    """Cannot be created, as this process has no TLS."""

    def __init__(self, *_: object, **__: object) -> None:
        raise NotImplementedError("this process has no TLS")


class SSLSocket:
    """No socket is an instance, as no connection uses TLS."""


def _stub() -> ModuleType:
    """Returns a module with the names that asyncio and Tornado look up at their import or without TLS."""
    stub = ModuleType("ssl", "Stands in for the standard module.")
    errors = ("SSLError", "SSLWantReadError", "SSLWantWriteError", "SSLSyscallError", "CertificateError")
    stub.__dict__.update(dict.fromkeys(errors, SSLError))
    stub.__dict__.update(SSLContext=SSLContext, SSLSocket=SSLSocket, create_default_context=SSLContext)
    return stub


def leave_out_tls() -> None:
    """Makes later imports do without OpenSSL; has no effect once `ssl` is imported."""
    if "ssl" in sys.modules:
        return
    sys.modules["ssl"] = _stub()
    for name in OPTIONAL_MODULES:
        # Guards against replacing a module in use; an entry of None makes its import fail.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
