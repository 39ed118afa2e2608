"""What proves that a server which nobody hears lost its flows with the power.

Load pattern: a data centre, or all of them, lose power and get it back. All agents and
their servers there start within about two seconds; a server that was leaving, or that
had crashed, does not come back, and its agent can only say that nothing answers there.

Doubt means silence, so the server of an agent counts as one that lost power only if

- the agent has had no report of it since the agent's own start, so that it has admitted
  no flow to it either,
- all other agents of its data centre whose servers have reported started together with
  them, and they are two at least (with a single one there, the agents of all data
  centres count; with none, nothing is known of its power), and
- all these agents and that one started at one time. An agent that is restarted later,
  beside a server that hangs, proves nothing.

Such a server holds no open flow that anybody could have opened since. As a second
condition, either nothing answers beside the agent (`recovery.server_signs`), or the
agent has been stopped and has removed its entry.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# Agents that get power back together start within this time of one another.
POWER_RETURN_SPAN_SECONDS = 3.0
# Agents of one data centre from which on the others need not be heard.
MIN_WITNESSES = 2
# Age from which the word of an agent proves nothing, as its server may have reported.
MAX_WORD_AGE_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class AgentStart:
    """What an agent last said about its start and its server.

    Attributes
    ----------
    at : float
        Start of the agent's process in seconds on the monotonic clock of this node.
    started_together : bool or None
        Whether its server started together with it; None without a report.
    has_reported : bool
        Whether its server has reported to it since.
    started_later : bool
        Whether its server started long after the agent, as after a crash.
    stopping : bool
        Whether the agent has been stopped since.
    heard_at : float
        When it said so.
    """

    at: float
    started_together: bool | None
    has_reported: bool
    started_later: bool
    stopping: bool
    heard_at: float

    @property
    def is_witness(self) -> bool:
        """Tell whether the start of its server shows if power was lost."""
        if self.started_together is None:
            return False
        return not (self.started_together and self.started_later)


class AgentStarts:
    """Store the newest word of each agent, by IP address."""

    def __init__(self) -> None:
        self._starts: dict[str, AgentStart] = {}

    def record(self, host: str, start: AgentStart) -> None:
        """Record the word of an agent."""
        self._starts[host] = start

    def keep_only(self, hosts: Mapping[str, str]) -> None:
        """Remove agents that are no longer in use."""
        for host in self._starts.keys() - hosts.keys():
            del self._starts[host]

    def was_stopped(self, host: str) -> bool:
        """Tell whether the last word of an agent is that it is stopped."""
        start = self._starts.get(host)
        return start is not None and start.stopping

    def lost_power(
        self, host: str, data_centres: Mapping[str, str], now: float
    ) -> bool:
        """Tell whether an agent's server that has not reported certainly lost power.

        Parameters
        ----------
        host : str
            IP address of the agent.
        data_centres : mapping of str to str
            Data centre of each agent in use, by IP address.
        now : float
            Seconds on the monotonic clock.
        """
        own = self._starts.get(host)
        if own is None or own.has_reported or now - own.heard_at > MAX_WORD_AGE_SECONDS:
            return False
        witnesses = {
            other: start
            for other, start in self._starts.items()
            if other in data_centres and start.is_witness
        }
        near = [
            start
            for other, start in witnesses.items()
            if data_centres[other] == data_centres.get(host)
        ]
        if not near:
            return False
        heard = near if len(near) >= MIN_WITNESSES else list(witnesses.values())
        return len(heard) >= MIN_WITNESSES and all(
            start.started_together
            and abs(start.at - own.at) <= POWER_RETURN_SPAN_SECONDS
            for start in heard
        )
