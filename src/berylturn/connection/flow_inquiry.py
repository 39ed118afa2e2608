"""Inquiries for the owner of a flow, sent to all other agents in parallel.

Load pattern: after a restart of all nodes, every packet of a dead flow starts a search
at every agent. If the packet itself were forwarded from agent to agent, it would be
transmitted once per agent, mostly between data centres, and its caller would wait for
all of them in sequence. A key has 12 bytes, is sent to all agents in parallel, and is
answered from their tables.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .peer_frames import Forward
from .segments import Segment

# An answer between nodes takes milliseconds; a later retransmission of the packet
# starts a new inquiry.
INQUIRY_TIMEOUT_SECONDS = 0.5
# Keys per frame, so that the frame fits into a datagram of 1,200 bytes.
MAX_KEYS_PER_FRAME = 80
# About 1.5 KB each, with the buffered packet.
MAX_INQUIRIES = 5_000


@dataclass(slots=True)
class PendingInquiry:
    """Inquiry for one flow.

    Attributes
    ----------
    frame, segment : Forward, Segment
        Newest packet of the flow, buffered until the owner is known.
    unanswered_hosts : set of str
        IP addresses of the agents that have not answered.
    asked_at : float
        Time at which the inquiry was queued.
    unsure : set of str
        IP addresses of the agents whose servers must be offered the packet.
    offered_to : str
        IP address of the agent that the packet was offered to; empty if none.
    unanswered_offers : int
        Number of agents that were offered the packet and did not answer.
    retransmitted : bool
        Whether the caller has retransmitted the packet. From then on the search does
        not wait for agents that have not answered.
    all_restarted : bool or None
        Whether every agent that knows started together with its server; None while
        no agent knows.
    """

    frame: Forward
    segment: Segment
    unanswered_hosts: set[str]
    asked_at: float
    unsure: set[str] = field(default_factory=set)
    offered_to: str = ""
    unanswered_offers: int = 0
    retransmitted: bool = False
    all_restarted: bool | None = None


class Inquiries:
    """Store the pending inquiries and the keys that are to be sent."""

    def __init__(self) -> None:
        self._pending: dict[bytes, PendingInquiry] = {}
        self._unsent: dict[str, list[bytes]] = {}

    def get(self, flow: bytes) -> PendingInquiry | None:
        """Return the pending inquiry for a flow, or None."""
        return self._pending.get(flow)

    def update_packet(
        self, frame: Forward, segment: Segment, now: float
    ) -> PendingInquiry | None:
        """Replace the packet of a pending inquiry; return the inquiry, or None.

        An agent that was offered an earlier packet and has not answered is skipped.
        """
        inquiry = self._pending.get(segment.flow)
        if inquiry is None or now - inquiry.asked_at > INQUIRY_TIMEOUT_SECONDS:
            return None
        inquiry.frame, inquiry.segment = frame, segment
        inquiry.retransmitted = True
        if inquiry.offered_to:
            inquiry.offered_to = ""
            inquiry.unanswered_offers += 1
        return inquiry

    def start(
        self, frame: Forward, segment: Segment, hosts: Iterable[str], now: float
    ) -> None:
        """Start an inquiry at some agents for the flow of a packet."""
        unanswered_hosts = set(hosts)
        self._pending.pop(segment.flow, None)
        self._pending[segment.flow] = PendingInquiry(
            frame, segment, unanswered_hosts, now
        )
        if len(self._pending) > MAX_INQUIRIES:
            del self._pending[next(iter(self._pending))]
        for host in unanswered_hosts:
            self._unsent.setdefault(host, []).append(segment.flow)

    def discard(self, flow: bytes) -> None:
        """Remove the inquiry for a flow, if there is one."""
        self._pending.pop(flow, None)

    def record_answer(
        self, host: str, flow: bytes, absent: bool, started_together: bool | None
    ) -> PendingInquiry | None:
        """Record one agent's answer; return the inquiry if the search can continue.

        Parameters
        ----------
        host : str
            IP address of the agent.
        flow : bytes
            Key of the flow.
        absent : bool
            Whether the server of the agent certainly does not hold the flow.
        started_together : bool or None
            Whether the agent and its server started together; None if unknown.
        """
        inquiry = self._pending.get(flow)
        if inquiry is None:
            return None
        inquiry.all_restarted = combine_started_together(
            inquiry.all_restarted, started_together
        )
        inquiry.unanswered_hosts.discard(host)
        if inquiry.offered_to == host and absent:
            inquiry.offered_to = ""
        elif not absent:
            inquiry.unsure.add(host)
        if inquiry.offered_to or (
            inquiry.unanswered_hosts and not inquiry.retransmitted
        ):
            return None
        return inquiry

    def pop_unsent(self) -> list[tuple[str, list[bytes]]]:
        """Remove and return the queued keys in frames, with the IP address to ask."""
        unsent, self._unsent = self._unsent, {}
        return [
            (host, keys[start : start + MAX_KEYS_PER_FRAME])
            for host, keys in unsent.items()
            for start in range(0, len(keys), MAX_KEYS_PER_FRAME)
        ]

    def sweep(self, now: float) -> None:
        """Remove inquiries that have timed out."""
        for flow, inquiry in list(self._pending.items()):
            if now - inquiry.asked_at <= INQUIRY_TIMEOUT_SECONDS:
                break
            del self._pending[flow]


def combine_started_together(first: bool | None, second: bool | None) -> bool | None:
    """Return whether both agents started with their servers; None is unknown."""
    answers = [value for value in (first, second) if value is not None]
    return all(answers) if answers else None
