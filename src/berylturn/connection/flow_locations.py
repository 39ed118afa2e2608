"""Where flows are: which agent owns a flow that another one is asked for first."""

from __future__ import annotations

from collections.abc import Iterable

from ..version.owners import AgentEntry, find_primary_hosts
from .flow_table import IDLE_MARGIN_SECONDS, PassthroughFlow

# About 150 bytes each; a share of 6 data centres of 2,000 flows at the target size.
MAX_REGISTERED = 100_000


class FlowLocations:
    """Tell the agents that balancers ask first, and keep what others tell.

    Parameters
    ----------
    host : str
        IP address of this agent.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._owners: dict[bytes, tuple[str, float]] = {}
        self._news: dict[str, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def owner_of(self, flow: bytes) -> str | None:
        """Return the IP address of another agent that owns a flow, or None."""
        owner = self._owners.get(flow)
        return None if owner is None or owner[0] == self._host else owner[0]

    def take(self, host: str, flows: Iterable[bytes], now: float) -> None:
        """Note that an agent owns flows."""
        for key in flows:
            self._owners.pop(key, None)
            self._owners[key] = (host, now)
        while len(self._owners) > MAX_REGISTERED:
            del self._owners[next(iter(self._owners))]

    def register(
        self,
        key: bytes,
        flow: PassthroughFlow,
        agents: Iterable[AgentEntry],
        again: bool,
    ) -> None:
        """Have the first agent in each data centre told who owns a flow.

        Parameters
        ----------
        key : bytes
            Key of the flow.
        flow : PassthroughFlow
            The flow, which remembers who has been told.
        agents : iterable of AgentEntry
            Agents of the service that its route leads to.
        again : bool
            Whether to tell also those that have been told.
        """
        homes = find_primary_hosts(key, agents)
        for home in homes if again else homes - flow.homes:
            if home != self._host:
                self._news.setdefault(home, []).append(key)
        flow.homes = homes

    def take_news(self) -> dict[str, list[bytes]]:
        """Return the keys that have gathered, by the IP address to tell."""
        news, self._news = self._news, {}
        return news

    def sweep(self, now: float, longest_flow_seconds: float) -> None:
        """Forget flows that must be over."""
        for key, (_, at) in list(self._owners.items()):
            if now - at <= longest_flow_seconds + IDLE_MARGIN_SECONDS:
                break
            del self._owners[key]
