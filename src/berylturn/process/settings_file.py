"""The settings file of a running daemon: what changed, and what of it applies."""

from __future__ import annotations

import os
from typing import Any

import msgspec

from ..errors import SettingsError
from .logs import log_event, log_warning
from .settings import read_settings

# Keys that a running daemon takes over; the others are those of sockets and names, and
# need a restart.
APPLICABLE = frozenset(
    {
        ("passthrough", "seeds"),
        ("passthrough", "grace"),
        ("opaque_backend", "heartbeat"),
        ("opaque_backend", "cold_factor"),
        ("opaque_backend", "cold_slack"),
        ("opaque_backend", "longest_flow"),
    }
)


class SettingsFile:
    """Read a settings file again when it has changed.

    Parameters
    ----------
    path : str
        The file.
    model : type
        Struct that validates it.
    """

    def __init__(self, path: str, model: type[Any]) -> None:
        self._path = path
        self._model = model
        self._stamp = self._read_stamp()

    def read(self) -> Any:
        """Return the validated settings or raise `SettingsError`."""
        return read_settings(self._path, self._model)

    def has_changed(self) -> bool:
        """Tell whether the file was written since the last look at it."""
        before, self._stamp = self._stamp, self._read_stamp()
        return self._stamp != before

    def reload(self, held: Any) -> Any:
        """Return the settings to go on with, and log what became of each change.

        An invalid file changes nothing.
        """
        self._stamp = self._read_stamp()
        try:
            fresh = self.read()
        except SettingsError as error:
            log_warning("reload_refused", error=str(error))
            return held
        merged, applied, restart = apply_changes(held, fresh)
        log_event("reloaded", changed=applied, needs_restart=restart)
        return merged

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # `read` reports a file that is missing when something asks for a reload.
            return None
        return status.st_mtime_ns, status.st_size


def apply_changes(held: Any, fresh: Any) -> tuple[Any, list[str], list[str]]:
    """Return settings with the applicable changes, and the names of all changes.

    Parameters
    ----------
    held, fresh : Struct
        Settings in force, and as the file has them now.

    Returns
    -------
    tuple
        Settings to go on with, names of keys that were taken over, names of keys that
        need a restart.
    """
    applied: list[str] = []
    restart: list[str] = []
    sections: dict[str, Any] = {}
    for name in held.__struct_fields__:
        section, wanted = getattr(held, name), getattr(fresh, name)
        changes = {}
        for key in section.__struct_fields__:
            if getattr(section, key) == getattr(wanted, key):
                continue
            if (name, key) in APPLICABLE:
                changes[key] = getattr(wanted, key)
                applied.append(f"{name}.{key}")
            else:
                restart.append(f"{name}.{key}")
        sections[name] = msgspec.structs.replace(section, **changes)
    return msgspec.structs.replace(held, **sections), applied, restart
