"""Registry of flow owners at the agents that balancers send packets to first."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ...version.owners import AgentEntry, find_primary_hosts
from ..flow_table import IDLE_MARGIN_SECONDS, PassthroughFlow

# About 150 bytes each; at the target size an agent is responsible for a share of the
# flows of 6 data centres, 2,000 flows each.
MAX_REGISTERED = 100_000


class FlowLocations:
    """Register own flows with the first agents in their order; store those of others.

    Parameters
    ----------
    host : str
        IP address of this agent.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._owners: dict[bytes, tuple[str, float]] = {}
        self._pending: dict[str, list[bytes]] = {}
        self._pending_remote: dict[str, list[bytes]] = {}

    def __len__(self) -> int:
        return len(self._owners)

    def owner_of(self, flow: bytes) -> str | None:
        """Return the IP address of another agent that owns a flow, or None."""
        owner = self._owners.get(flow)
        return None if owner is None or owner[0] == self._host else owner[0]

    def record_owner(self, host: str, flows: Iterable[bytes], now: float) -> None:
        """Record that an agent owns flows."""
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
        force: bool,
    ) -> None:
        """Queue a registration of a flow with its first agent in each data centre.

        Parameters
        ----------
        key : bytes
            Key of the flow.
        flow : PassthroughFlow
            The flow, which stores the agents it is registered with.
        agents : iterable of AgentEntry
            Agents of the service that its route leads to.
        force : bool
            Whether to repeat registrations that have been sent already.
        """
        agents = list(agents)
        hosts = find_primary_hosts(key, agents)
        data_centres = {agent.host: agent.data_centre for agent in agents}
        own_data_centre = data_centres.get(self._host)
        for host in hosts if force else hosts - flow.registered_with:
            is_remote = own_data_centre not in (None, data_centres[host])
            pending = self._pending_remote if is_remote else self._pending
            if host != self._host:
                pending.setdefault(host, []).append(key)
        flow.registered_with = hosts

    def pop_registrations(self) -> dict[str, list[bytes]]:
        """Remove and return the queued keys for the own data centre.

        They are grouped by the IP address of the receiver.
        """
        pending, self._pending = self._pending, {}
        return pending

    def pop_remote_registrations(
        self, is_open: Callable[[bytes], bool]
    ) -> dict[str, list[bytes]]:
        """Remove and return the queued keys for other data centres.

        Packets of a flow enter elsewhere only after its caller has moved, so many flows
        share a frame, and flows that have ended meanwhile are left out.

        Parameters
        ----------
        is_open : callable
            Tells whether a flow is still open.
        """
        pending, self._pending_remote = self._pending_remote, {}
        still_open = {host: list(filter(is_open, k)) for host, k in pending.items()}
        return {host: keys for host, keys in still_open.items() if keys}

    def sweep(self, now: float, max_flow_seconds: float) -> None:
        """Remove entries that are older than the longest flow."""
        for key, (_, recorded_at) in list(self._owners.items()):
            if now - recorded_at <= max_flow_seconds + IDLE_MARGIN_SECONDS:
                break
            del self._owners[key]
