"""Agents in use: those in the platform's directory, and those that lately left it.

The platform may lose entries during an outage. A live agent writes its entry again
within two seconds, so an agent whose entry disappeared stays in use for a grace period:
it may own a flow that no other agent knows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .owners import AgentEntry

# Agents restore lost entries within two seconds after the platform has recovered; the
# third second lets the change reach every node.
ENTRY_GRACE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class DirectoryTrust:
    """How reliable a node's copy of the directory is.

    Attributes
    ----------
    is_current : bool
        Whether the copy lately matched that of the platform, a balancer or a parent.
    known_seconds : float
        Seconds since this process first read the directory; 0 if it has not.
    """

    is_current: bool
    known_seconds: float

    def is_complete(self, all_restarted: bool) -> bool:
        """Tell whether only agents in the directory can hold an open flow.

        A process that has just started cannot know of entries that were lost earlier.
        If every server in the directory has restarted, all servers lost power together,
        including any server without an entry, so it holds no open flow either.

        Parameters
        ----------
        all_restarted : bool
            Whether each backend server started at about the same time as its agent.
        """
        return self.is_current and (
            all_restarted or self.known_seconds > ENTRY_GRACE_SECONDS
        )


@dataclass
class Directory:
    """Agents in use, by service and by IP address."""

    by_service: dict[str, list[AgentEntry]] = field(default_factory=dict)
    by_host: dict[str, AgentEntry] = field(default_factory=dict)

    def add(self, entry: AgentEntry) -> None:
        """Add an agent."""
        self.by_service.setdefault(entry.service, []).append(entry)
        self.by_host[entry.host] = entry


class AgentDirectory:
    """Track the entries of agents; keep missing ones for a grace period.

    Parameters
    ----------
    has_left : callable
        Tells whether the agent at an IP address has reported that its server left.
    """

    def __init__(self, has_left: Callable[[str], bool]) -> None:
        self._has_left = has_left
        self._entries: dict[str, AgentEntry] = {}
        self._lapsed: dict[str, tuple[AgentEntry, float]] = {}

    @property
    def lapsed(self) -> list[str]:
        """Return the names of the agents that are in use without an entry."""
        return list(self._lapsed)

    def replace(self, entries: Iterable[AgentEntry], now: float) -> Directory:
        """Replace all entries with those of the platform; return the agents in use.

        Parameters
        ----------
        entries : iterable of AgentEntry
            All entries of the platform's directory.
        now : float
            Seconds on the monotonic clock.
        """
        listed = {entry.name: entry for entry in entries}
        for name, entry in self._entries.items():
            if name not in listed and not self._has_left(entry.host):
                self._lapsed[name] = (entry, now)
        self._entries = listed
        return self._build_directory(now)

    def expire(self, now: float) -> Directory | None:
        """Drop agents whose grace period is over; return None if there are none."""
        if all(
            now - missing_since <= ENTRY_GRACE_SECONDS
            for _, missing_since in self._lapsed.values()
        ):
            return None
        return self._build_directory(now)

    def _build_directory(self, now: float) -> Directory:
        listed_hosts = {entry.host for entry in self._entries.values()}
        self._lapsed = {
            name: (entry, missing_since)
            for name, (entry, missing_since) in self._lapsed.items()
            if name not in self._entries
            and entry.host not in listed_hosts
            and now - missing_since <= ENTRY_GRACE_SECONDS
        }
        directory = Directory()
        for entry in [*self._entries.values(), *(e for e, _ in self._lapsed.values())]:
            directory.add(entry)
        return directory
