"""Detours through a third data centre around a cut between two others.

Load pattern: two data centres cannot reach each other while a third one reaches both.
Flows that were opened across the cut live on at both ends, but their packets are lost
until the callers give up. One node of the third data centre then relays the frames
between the two ends.

A way is proved by both its directions: a detour begins when the answer of a host is
overdue, lasts while answers come back by its relay, and ends when the host answers a
direct probe. New flows avoid hosts that only a detour reaches.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from hashlib import blake2b

from ...version.owners import AgentEntry

# Time after which a relay that has brought no answer is replaced: a few times the way
# through it and back.
RELAY_TIMEOUT_SECONDS = 0.4
# Interval at which a way in use is asked for an answer.
WAY_PROBE_SECONDS = 0.2
# Relays tried one after the other for one host, and the pause after the last.
MAX_RELAYS_TRIED = 2
RETRY_SECONDS = 1.0
# A way back that a host has shown is used until no more frames come by it.
RETURN_WAY_SECONDS = 3.0
# Time since its last direct frame for which a host counts as reachable; two probes of
# the other data centres may be lost.
HEARD_SECONDS = 5.0
# Bytes that one node relays in a second, 8 Mbit/s; the rest is dropped, as on a full
# link.
MAX_RELAYED_BYTES = 1_000_000
# Hosts about which a way or a direct frame is recorded, about 200 bytes each.
MAX_HOSTS = 5_000

# Reports a change of a way: event name, and its inputs as keywords.
LogWay = Callable[..., None]


@dataclass(slots=True)
class _Way:
    """A detour to one host.

    Attributes
    ----------
    relay : str
        IP address of the relay.
    answered_at : float
        Time of the last frame of the host by this relay; at first that of the choice.
    chosen : bool
        Whether this node chose the relay. Otherwise the host did, and this is its way
        back.
    tried : int
        Number of relays tried since an answer.
    asked_at : float or None
        Time of the oldest probe by this relay without an answer, None without one.
    """

    relay: str
    answered_at: float
    chosen: bool
    tried: int = 1
    asked_at: float | None = None


class Detours:
    """Choose between the direct way to a host and a relay.

    Parameters
    ----------
    host, data_centre : str
        IP address and data centre of this node.
    log_way : callable
        Reports that a detour begins or ends, with its inputs as keywords.
    """

    def __init__(self, host: str, data_centre: str, log_way: LogWay) -> None:
        self._host = host
        self._data_centre = data_centre
        self._log_way = log_way
        self._agents: Mapping[str, AgentEntry] = {}
        self._remote_hosts: list[list[str]] = []
        self._ways: dict[str, _Way] = {}
        self._retry_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._relayed_bytes = 0
        self._relay_second = float("-inf")

    def list_hosts(self) -> Collection[str]:
        """Return the IP addresses of the hosts that are reached by a detour."""
        return self._ways.keys()

    def set_agents(self, agents: Mapping[str, AgentEntry]) -> None:
        """Set the agents by IP address; they are the relays."""
        self._agents = agents
        for host, way in list(self._ways.items()):
            if way.chosen and host not in agents:
                del self._ways[host]
        by_data_centre: dict[str, list[str]] = {}
        for host, agent in agents.items():
            if agent.data_centre != self._data_centre:
                by_data_centre.setdefault(agent.data_centre, []).append(host)
        # Each node starts elsewhere, so that all hosts are probed about equally.
        self._remote_hosts = [
            sorted(hosts, key=lambda host: _weigh(host, self._host))
            for hosts in by_data_centre.values()
        ]

    def list_probed_hosts(self, now: float) -> list[str]:
        """Return the hosts to probe directly: detoured ones, and one a data centre.

        The latter keep it known which hosts may relay.
        """
        probed = [host for host, way in self._ways.items() if way.chosen]
        probed += [hosts[int(now) % len(hosts)] for hosts in self._remote_hosts]
        return list(dict.fromkeys(probed))

    def choose_relay(self, host: str, is_overdue: bool, now: float) -> str | None:
        """Return the relay for a frame to a host, or None for the direct way.

        Parameters
        ----------
        host : str
            IP address of the receiver.
        is_overdue : bool
            Whether an answer of the host is overdue.
        now : float
            Seconds on the monotonic clock.
        """
        way = self._ways.get(host)
        if way is not None and not self._is_expired(way, now):
            return way.relay
        tried = max(1, way.tried) if way is not None and way.chosen else 0
        if way is not None:
            del self._ways[host]
            if not way.chosen:
                return None
        elif not is_overdue or now < self._retry_at.get(host, 0.0):
            return None
        relay = self._rank_relay(host, tried, now)
        if relay is None or tried >= MAX_RELAYS_TRIED:
            self._retry_at[host] = now + RETRY_SECONDS
            _bound(self._retry_at)
            if tried:
                self._log_way("detour_failed", host=host, tried=tried)
            return None
        self._ways[host] = _Way(relay, now, chosen=True, tried=tried + 1)
        self._log_way("detour_started", host=host, relay=relay, tried=tried)
        return relay

    def is_probe_due(self, host: str, now: float) -> bool:
        """Tell whether to ask a detoured host for an answer, and record that it is.

        Most frames are not answered, so they do not show that a relay works.
        """
        way = self._ways.get(host)
        if way is None or not way.chosen or way.asked_at is not None:
            return False
        if way.tried == 0 and now - way.answered_at < WAY_PROBE_SECONDS:
            return False
        way.asked_at = now
        return True

    def record_direct(self, host: str, now: float) -> None:
        """Record a frame that came directly from a host, other than a probe.

        A host that has chosen a relay sends nothing else directly, so its way back
        ends.
        """
        self._heard_at.pop(host, None)
        self._heard_at[host] = now
        _bound(self._heard_at)
        way = self._ways.get(host)
        if way is not None and not way.chosen:
            del self._ways[host]

    def record_probe_answer(self, host: str, now: float) -> None:
        """Record that a host answered a direct probe: both directions work."""
        self.record_direct(host, now)
        self._retry_at.pop(host, None)
        if self._ways.pop(host, None) is not None:
            self._log_way("detour_ended", host=host)

    def record_relayed(self, host: str, relay: str, now: float) -> None:
        """Record a frame of a host that came by a relay, which is also the way back."""
        way = self._ways.get(host)
        if way is None:
            self._ways[host] = _Way(relay, now, chosen=False)
            _bound(self._ways)
            return
        way.relay, way.answered_at = relay, now
        way.tried, way.asked_at = 0, None

    def may_relay(self, target: str, size: int, now: float) -> bool:
        """Tell whether to relay a frame: to a node that is known, within the budget.

        Parameters
        ----------
        target : str
            IP address of the receiver.
        size : int
            Bytes of the frame.
        now : float
            Seconds on the monotonic clock.
        """
        if target not in self._agents and not self._is_heard(target, now):
            return False
        if now - self._relay_second >= 1.0:
            self._relay_second, self._relayed_bytes = now, 0
        self._relayed_bytes += size
        return self._relayed_bytes <= MAX_RELAYED_BYTES

    def _is_expired(self, way: _Way, now: float) -> bool:
        if way.chosen:
            asked_at = now if way.asked_at is None else way.asked_at
            return now - asked_at > RELAY_TIMEOUT_SECONDS
        return now - way.answered_at > RETURN_WAY_SECONDS

    def _is_heard(self, host: str, now: float) -> bool:
        return now - self._heard_at.get(host, float("-inf")) <= HEARD_SECONDS

    def _rank_relay(self, host: str, tried: int, now: float) -> str | None:
        """Return the next relay in the order of a host, or None without one."""
        target = self._agents.get(host)
        if target is None or target.data_centre == self._data_centre:
            return None
        ends = (target.data_centre, self._data_centre)
        relays = [
            relay
            for relay in self._heard_at
            if self._is_heard(relay, now)
            and relay in self._agents
            and self._agents[relay].data_centre not in ends
        ]
        ranked = sorted(relays, key=lambda relay: _weigh(relay, host))
        return ranked[tried] if tried < len(ranked) else None


def _weigh(host: str, other: str) -> bytes:
    return blake2b(f"{host} {other}".encode(), digest_size=8).digest()


def _bound(records: dict) -> None:
    """Remove the oldest record beyond `MAX_HOSTS`."""
    if len(records) > MAX_HOSTS:
        del records[next(iter(records))]
