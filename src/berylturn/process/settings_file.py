"""Reload a running daemon's settings file and apply the changes that it can take."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import msgspec

from ..errors import SettingsError
from .logs import log_event, log_warning
from .settings import read_settings

# Keys that a running daemon can change. The others set sockets and names, which need a
# restart.
RELOADABLE_KEYS = frozenset(
    {
        ("passthrough", "seeds"),
        ("passthrough", "grace"),
        ("opaque_backend", "heartbeat"),
        ("opaque_backend", "cold_factor"),
        ("opaque_backend", "cold_slack"),
        ("opaque_backend", "longest_flow"),
        ("opaque_backend", "service"),
        ("second_offers", "share"),
        ("second_offers", "delay"),
    }
)


class SettingsFile:
    """Read a settings file and reload it when it has changed.

    Parameters
    ----------
    path : str
        Path of the file.
    model : type
        Settings class that validates the file.
    translate : callable or None
        Returns the settings that those in the file stand for; by default the same.
    """

    def __init__(
        self,
        path: str,
        model: type[Any],
        translate: Callable[[Any], Any] | None = None,
    ) -> None:
        self._path = path
        self._model = model
        self._translate = translate
        self._last_stamp = self._read_stamp()

    def read(self) -> Any:
        """Return the validated settings or raise `SettingsError`."""
        settings = read_settings(self._path, self._model)
        return settings if self._translate is None else self._translate(settings)

    def has_changed(self) -> bool:
        """Tell whether the file was written since the last call or reload."""
        before, self._last_stamp = self._last_stamp, self._read_stamp()
        return self._last_stamp != before

    def reload(self, current: Any) -> Any:
        """Return the settings after a reload, and log which changes were applied.

        An invalid file is rejected, and the settings in force stay.
        """
        self._last_stamp = self._read_stamp()
        try:
            loaded = self.read()
        except SettingsError as error:
            log_warning("reload_refused", error=str(error))
            return current
        merged, applied, restart = apply_changes(current, loaded)
        log_event("reloaded", changed=applied, needs_restart=restart)
        return merged

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            # The next reload calls `read`, which reports a missing file.
            return None
        return status.st_mtime_ns, status.st_size


def apply_changes(current: Any, loaded: Any) -> tuple[Any, list[str], list[str]]:
    """Apply the changes that need no restart, and name all changes.

    Parameters
    ----------
    current, loaded : Struct
        Settings in force, and settings read from the file.

    Returns
    -------
    tuple
        New settings, names of the keys that were applied, and names of the keys whose
        change needs a restart.
    """
    applied: list[str] = []
    restart: list[str] = []
    sections: dict[str, Any] = {}
    for name in current.__struct_fields__:
        section, loaded_section = getattr(current, name), getattr(loaded, name)
        changes = {}
        for key in section.__struct_fields__:
            if getattr(section, key) == getattr(loaded_section, key):
                continue
            if (name, key) in RELOADABLE_KEYS:
                changes[key] = getattr(loaded_section, key)
                applied.append(f"{name}.{key}")
            else:
                restart.append(f"{name}.{key}")
        sections[name] = msgspec.structs.replace(section, **changes)
    return msgspec.structs.replace(current, **sections), applied, restart
