"""Effects: what an agent's rules ask its sockets and tasks to do."""

from __future__ import annotations

from dataclasses import dataclass

from ..domain import RefusalReason
from .frames import Frame

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class SendToCaller:
    """Send one packet to a caller through a balancer."""

    caller: Address
    balancer: Address
    packet: bytes


@dataclass(frozen=True, slots=True)
class SendFrame:
    """Send one frame to another daemon."""

    address: Address
    frame: Frame


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Run one request on the backend server.

    Attributes
    ----------
    deadline : float
        Seconds on the monotonic clock.
    generation : int
        Cold starts of the backend server that the gate had counted.
    resume_at : int
        Lines of a stream that a predecessor has already received.
    """

    flow_id: bytes
    number: int
    service: str
    body: bytes
    repeatable: bool
    stream: bool
    deadline: float
    generation: int
    resume_at: int = 0


@dataclass(frozen=True, slots=True)
class CancelRequest:
    """Cancel one request on the backend server."""

    flow_id: bytes
    number: int


@dataclass(frozen=True, slots=True)
class ReleaseFlow:
    """Close the backend server's connection of a flow that has ended."""

    flow_id: bytes


@dataclass(frozen=True, slots=True)
class FlowDecision:
    """Log that a new flow was admitted, passed to a sibling or refused."""

    decision: str
    flow_id: bytes
    service: str
    reason: RefusalReason | None = None
    sibling: str = ""
    hops: int = 0


Effect = (
    SendToCaller | SendFrame | StartRequest | CancelRequest | ReleaseFlow | FlowDecision
)
