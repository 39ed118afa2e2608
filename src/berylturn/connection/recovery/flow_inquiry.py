"""Inquiries for the owner of a flow, sent to all other agents in parallel.

Load pattern: after a restart of all nodes, every packet of a dead flow starts a search
at every agent. If the packet itself were forwarded from agent to agent, it would be
transmitted once per agent, mostly between data centres, and its caller would wait for
all of them in sequence. A key has 12 bytes, is sent to all agents in parallel, and is
answered from their tables.

Load pattern: agents are restarted in turn, so that one of them is always away, and the
owner of a flow may be the one. Callers double the interval between their copies up to
1.6 s, so the packet is kept and agents that are away are asked again until they answer.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from ..peer_frames import Findings, Forward
from ..segments import Segment

# Interval at which agents that have not answered are asked again.
REPEAT_SECONDS = 0.25
# Time without a new copy after which a packet is dropped: longer than the longest
# interval between two copies, 1.6 s.
SEARCH_TIMEOUT_SECONDS = 2.0
# Keys per frame, so that the frame fits into a datagram of 1,200 bytes.
MAX_KEYS_PER_FRAME = 80
# About 1.5 KB each, with the buffered packet.
MAX_INQUIRIES = 5_000
# Age from which a search counts as waiting, and interval of the log lines on those.
WAIT_SECONDS = 0.5
WAIT_LOG_SECONDS = 1.0
# Oldest searches that are examined for a line.
MAX_EXAMINED = 200
# Agents named in a log line.
LOGGED_HOSTS = 5


@dataclass(slots=True)
class PendingInquiry:
    """Inquiry for one flow.

    Attributes
    ----------
    frame, segment : Forward, Segment
        Newest packet of the flow, buffered until the owner is known.
    started_at, updated_at, asked_at : float
        Times of the first and the newest packet, and of the last question.
    named : str
        IP address of the owner by the word of another agent; empty if none.
    answered : set of str
        IP addresses of the agents that have answered.
    unsure : set of str
        IP addresses of the agents whose servers must be offered the packet.
    offered_to : str
        IP address of the agent that the packet was offered to; empty if none.
    missing : set of str
        IP addresses of the agents beside which no server answers.
    is_answered : bool
        Whether all have answered that they do not hold the flow, so that only the
        directory must be confirmed.
    all_restarted : bool or None
        Whether every agent that knows started together with its server; None while
        no agent knows.
    """

    frame: Forward
    segment: Segment
    started_at: float
    updated_at: float
    asked_at: float
    named: str = ""
    answered: set[str] = field(default_factory=set)
    unsure: set[str] = field(default_factory=set)
    offered_to: str = ""
    missing: set[str] = field(default_factory=set)
    is_answered: bool = False
    all_restarted: bool | None = None


class Inquiries:
    """Store the pending inquiries and the keys that are to be sent."""

    def __init__(self) -> None:
        self._pending: dict[bytes, PendingInquiry] = {}
        self._unsent: dict[str, list[bytes]] = {}
        self._wait_described_at = float("-inf")

    def __len__(self) -> int:
        return len(self._pending)

    def get(self, flow: bytes) -> PendingInquiry | None:
        """Return the pending inquiry for a flow, or None."""
        return self._pending.get(flow)

    def pending(self) -> list[PendingInquiry]:
        """Return all pending inquiries."""
        return list(self._pending.values())

    def update_packet(
        self, frame: Forward, segment: Segment, now: float
    ) -> PendingInquiry | None:
        """Replace the packet of a pending inquiry; return the inquiry, or None.

        An agent that was offered an earlier packet and has not answered is skipped
        and asked again.
        """
        inquiry = self._pending.get(segment.flow)
        if inquiry is None:
            return None
        inquiry.frame, inquiry.segment = frame, segment
        inquiry.updated_at = now
        inquiry.answered.discard(inquiry.offered_to)
        inquiry.offered_to = ""
        return inquiry

    def start(
        self, frame: Forward, segment: Segment, named: str, now: float
    ) -> PendingInquiry:
        """Start an inquiry for the flow of a packet.

        Parameters
        ----------
        frame, segment : Forward, Segment
            The packet.
        named : str
            IP address of the owner if another agent has named it, else empty.
        now : float
            Seconds on the monotonic clock.
        """
        inquiry = PendingInquiry(frame, segment, now, now, now, named)
        self._pending[segment.flow] = inquiry
        if len(self._pending) > MAX_INQUIRIES:
            del self._pending[next(iter(self._pending))]
        return inquiry

    def ask(self, inquiry: PendingInquiry, hosts: Collection[str], now: float) -> None:
        """Queue the question for the owner of a flow to some agents."""
        inquiry.asked_at = now
        for host in hosts:
            self._unsent.setdefault(host, []).append(inquiry.segment.flow)

    def discard(self, flow: bytes) -> None:
        """Remove the inquiry for a flow, if there is one."""
        self._pending.pop(flow, None)

    def record_answer(
        self, host: str, flow: bytes, absent: bool, findings: Findings
    ) -> PendingInquiry | None:
        """Record one agent's answer; return the inquiry, or None if it has ended.

        Parameters
        ----------
        host : str
            IP address of the agent.
        flow : bytes
            Key of the flow.
        absent : bool
            Whether the server of the agent certainly does not hold the flow.
        findings : Findings
            The answer, with what the agent says about its server.
        """
        inquiry = self._pending.get(flow)
        if inquiry is None:
            return None
        inquiry.all_restarted = combine_started_together(
            inquiry.all_restarted, findings.started_together
        )
        inquiry.answered.add(host)
        inquiry.missing.discard(host)
        if absent or findings.server_missing:
            inquiry.unsure.discard(host)
            if inquiry.offered_to == host:
                inquiry.offered_to = ""
            if not absent:
                inquiry.missing.add(host)
        elif inquiry.offered_to != host:
            inquiry.unsure.add(host)
        return inquiry

    def describe_waiting(
        self, find_silent: Callable[[PendingInquiry], list[str]], now: float
    ) -> dict[str, object] | None:
        """Return, at most once a second, for which agents searches have been waiting.

        Parameters
        ----------
        find_silent : callable
            Returns the IP addresses of the agents that have not answered an inquiry.
        now : float
            Seconds on the monotonic clock.
        """
        if now - self._wait_described_at < WAIT_LOG_SECONDS:
            return None
        waiting = [
            inquiry
            for inquiry in self._pending.values()
            if now - inquiry.started_at > WAIT_SECONDS
        ]
        if not waiting:
            return None
        self._wait_described_at = now
        awaited: Counter[str] = Counter()
        for inquiry in waiting[:MAX_EXAMINED]:
            awaited.update({*find_silent(inquiry), inquiry.offered_to} - {""})
        return {
            "searches": len(waiting),
            "seconds": max(now - inquiry.started_at for inquiry in waiting),
            "agents": dict(awaited.most_common(LOGGED_HOSTS)),
        }

    def pop_unsent(self) -> list[tuple[str, list[bytes]]]:
        """Remove and return the queued keys in frames, with the IP address to ask."""
        unsent, self._unsent = self._unsent, {}
        return [
            (host, keys[start : start + MAX_KEYS_PER_FRAME])
            for host, keys in unsent.items()
            for start in range(0, len(keys), MAX_KEYS_PER_FRAME)
        ]

    def pop_expired(
        self, now: float, timeout_of: Callable[[bytes], float]
    ) -> list[PendingInquiry]:
        """Remove and return the inquiries whose packets have no use any more.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        timeout_of : callable
            Returns the seconds after which a flow's caller gives up a request.
        """
        expired = [
            inquiry
            for flow, inquiry in self._pending.items()
            if now - inquiry.updated_at > SEARCH_TIMEOUT_SECONDS
            or now - inquiry.started_at > timeout_of(flow)
        ]
        for inquiry in expired:
            del self._pending[inquiry.segment.flow]
        return expired


def combine_started_together(first: bool | None, second: bool | None) -> bool | None:
    """Return whether both agents started with their servers; None is unknown."""
    answers = [value for value in (first, second) if value is not None]
    return all(answers) if answers else None
