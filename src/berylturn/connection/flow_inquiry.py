"""Flows that an agent asks all others for at once.

Load pattern: after everything has restarted, each packet of a dead flow is searched for
at every agent. Passed from agent to agent it costs its whole size once for each, mostly
between data centres, and its caller waits for all of them one after the other. A key is
12 bytes, goes to all at once, and is answered from tables.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from .peer_frames import Forward
from .segments import Segment

# An answer between nodes takes milliseconds; a later copy of the packet asks again.
INQUIRY_SECONDS = 0.5
# Keys of one frame, so that it fits into a datagram of 1,200 bytes.
MAX_KEYS = 80
# About 1.5 KB each with the packet that waits.
MAX_INQUIRIES = 5_000


@dataclass(slots=True)
class PendingInquiry:
    """One flow that is asked for.

    Attributes
    ----------
    frame, segment : Forward, Segment
        The newest packet of the flow, which waits for the answers.
    waiting : set of str
        IP addresses of agents that have not answered.
    asked_at : float
        When the agents were asked.
    unsure : set of str
        IP addresses of agents whose servers must be offered the packet.
    offered : str
        IP address of the agent that has the packet now, if any.
    silent : int
        Agents that were offered the packet and did not answer.
    copied : bool
        Whether a copy of the packet has come; whoever has not answered by then is not
        waited for.
    all_restarted : bool or None
        Whether all that know have started about when their servers did.
    """

    frame: Forward
    segment: Segment
    waiting: set[str]
    asked_at: float
    unsure: set[str] = field(default_factory=set)
    offered: str = ""
    silent: int = 0
    copied: bool = False
    all_restarted: bool | None = None


class Inquiries:
    """Keep the flows that are asked for, and the keys that wait to be sent."""

    def __init__(self) -> None:
        self._open: dict[bytes, PendingInquiry] = {}
        self._unsent: dict[str, list[bytes]] = {}

    def get(self, flow: bytes) -> PendingInquiry | None:
        """Return the inquiry for a flow, or None."""
        return self._open.get(flow)

    def renew(
        self, frame: Forward, segment: Segment, now: float
    ) -> PendingInquiry | None:
        """Put a newer packet of the flow into its inquiry and return that.

        An agent that was offered an earlier packet without an answer is passed over.
        """
        inquiry = self._open.get(segment.flow)
        if inquiry is None or now - inquiry.asked_at > INQUIRY_SECONDS:
            return None
        inquiry.frame, inquiry.segment = frame, segment
        inquiry.copied = True
        if inquiry.offered:
            inquiry.offered = ""
            inquiry.silent += 1
        return inquiry

    def begin(
        self, frame: Forward, segment: Segment, hosts: Iterable[str], now: float
    ) -> None:
        """Ask some agents for the flow of a packet."""
        waiting = set(hosts)
        self._open.pop(segment.flow, None)
        self._open[segment.flow] = PendingInquiry(frame, segment, waiting, now)
        if len(self._open) > MAX_INQUIRIES:
            del self._open[next(iter(self._open))]
        for host in waiting:
            self._unsent.setdefault(host, []).append(segment.flow)

    def end(self, flow: bytes) -> None:
        """Forget an inquiry whose answer is known."""
        self._open.pop(flow, None)

    def note(
        self, host: str, flow: bytes, absent: bool, started_together: bool | None
    ) -> PendingInquiry | None:
        """Take one agent's answer; return the inquiry if there is a next step.

        Parameters
        ----------
        host : str
            IP address of the agent.
        flow : bytes
            Key of the flow.
        absent : bool
            Whether its server certainly does not hold the flow.
        started_together : bool or None
            Whether its server started about when it did, if that is known.
        """
        inquiry = self._open.get(flow)
        if inquiry is None:
            return None
        inquiry.all_restarted = join_starts(inquiry.all_restarted, started_together)
        inquiry.waiting.discard(host)
        if inquiry.offered == host and absent:
            inquiry.offered = ""
        elif not absent:
            inquiry.unsure.add(host)
        if inquiry.offered or (inquiry.waiting and not inquiry.copied):
            return None
        return inquiry

    def take_unsent(self) -> list[tuple[str, list[bytes]]]:
        """Return the keys that have gathered, by the IP address to ask."""
        unsent, self._unsent = self._unsent, {}
        return [
            (host, keys[start : start + MAX_KEYS])
            for host, keys in unsent.items()
            for start in range(0, len(keys), MAX_KEYS)
        ]

    def sweep(self, now: float) -> None:
        """Forget inquiries that some agent has left without an answer."""
        for flow, inquiry in list(self._open.items()):
            if now - inquiry.asked_at <= INQUIRY_SECONDS:
                break
            del self._open[flow]


def join_starts(first: bool | None, second: bool | None) -> bool | None:
    """Return whether both started with their servers; None stands for unknown."""
    known = [value for value in (first, second) if value is not None]
    return all(known) if known else None
