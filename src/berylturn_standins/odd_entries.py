"""Entries that another writer may leave among those of the agents."""

from __future__ import annotations

import msgspec

# Names of such entries start with this prefix.
ODD_PREFIX = "odd-"
# The platform stores values of up to 1 MiB.
_DEPTH = 100_000

ODD_SPECS = {
    "odd-deep": b"[" * _DEPTH + b"]" * _DEPTH,
    "odd-deep-field": b'{"name":' + b'{"a":' * _DEPTH + b"1" + b"}" * (_DEPTH + 1),
    "odd-number": b'{"name":"odd-number","host":"127.0.0.1","data_centre":"dc-a",'
    b'"service":"desk","weight":' + b"9" * 400 + b"}",
    "odd-weight": b'{"name":"odd-weight","host":"127.0.0.1","data_centre":"dc-a",'
    b'"service":"desk","weight":0}',
    "odd-host": b'{"name":"odd-host","host":"127.0.0.1:99999","data_centre":"dc-a",'
    b'"service":"desk","weight":1}',
    "odd-type": b"7",
}


def read_odd_entries() -> dict[str, msgspec.Raw]:
    """Return the odd entries as JSON text by name."""
    return {name: msgspec.Raw(spec) for name, spec in ODD_SPECS.items()}
