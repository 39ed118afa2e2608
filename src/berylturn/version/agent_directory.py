"""Agents in force: those in the platform's directory, and those it has just lost.

The platform may lose entries while it is away. A live agent writes its own again within
two seconds, so an agent whose entry has vanished is still asked for flows that long: a
flow that nobody else knows may be its own.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .owners import AgentEntry

# Lost entries are back two seconds after the platform is, as the users' letter says;
# the third is for the change to reach every node.
LAPSE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class DirectoryTrust:
    """How far a node's directory can be relied on.

    Attributes
    ----------
    agreed : bool
        Whether it agreed lately with the platform or a balancer.
    known_seconds : float
        How long this process has known it; 0 when it does not.
    """

    agreed: bool
    known_seconds: float

    def names_all(self, all_restarted: bool) -> bool:
        """Tell whether no agent outside the directory may hold an open flow.

        A process that has just started cannot know of entries that were lost before.
        Where every server in the directory has restarted, all lost power together, and
        so did one without an entry.

        Parameters
        ----------
        all_restarted : bool
            Whether all backend servers started about when the agents beside them did.
        """
        return self.agreed and (all_restarted or self.known_seconds > LAPSE_SECONDS)


@dataclass
class Directory:
    """Agents in force, by service and by IP address."""

    by_service: dict[str, list[AgentEntry]] = field(default_factory=dict)
    by_host: dict[str, AgentEntry] = field(default_factory=dict)

    def add(self, entry: AgentEntry) -> None:
        """Add an agent."""
        self.by_service.setdefault(entry.service, []).append(entry)
        self.by_host[entry.host] = entry


class AgentDirectory:
    """Follow the entries of agents and remember those that vanish.

    Parameters
    ----------
    has_left : callable
        Tells whether the agent at an IP address has said that its server is gone.
    """

    def __init__(self, has_left: Callable[[str], bool]) -> None:
        self._has_left = has_left
        self._held: dict[str, AgentEntry] = {}
        self._lapsed: dict[str, tuple[AgentEntry, float]] = {}

    @property
    def lapsed(self) -> list[str]:
        """Return the names of agents that are kept without an entry."""
        return list(self._lapsed)

    def replace(self, entries: Iterable[AgentEntry], now: float) -> Directory:
        """Take the entries that the platform holds; return the agents in force.

        Parameters
        ----------
        entries : iterable of AgentEntry
            All entries of the platform's directory.
        now : float
            Seconds on the monotonic clock.
        """
        fresh = {entry.name: entry for entry in entries}
        for name, entry in self._held.items():
            if name not in fresh and not self._has_left(entry.host):
                self._lapsed[name] = (entry, now)
        self._held = fresh
        return self._list(now)

    def expire(self, now: float) -> Directory | None:
        """Give up agents whose entries have not come back; None if there are none."""
        if all(now - since <= LAPSE_SECONDS for _, since in self._lapsed.values()):
            return None
        return self._list(now)

    def _list(self, now: float) -> Directory:
        hosts = {entry.host for entry in self._held.values()}
        self._lapsed = {
            name: (entry, since)
            for name, (entry, since) in self._lapsed.items()
            if name not in self._held
            and entry.host not in hosts
            and now - since <= LAPSE_SECONDS
        }
        directory = Directory()
        for entry in [*self._held.values(), *(e for e, _ in self._lapsed.values())]:
            directory.add(entry)
        return directory
