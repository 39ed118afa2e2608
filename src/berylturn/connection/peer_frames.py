"""Frames for passthrough flows between balancers and agents.

They are sent between the peer ports of the nodes, which callers cannot reach. Unlike
the frames of `connection.frames` they are not signed, as these nodes have no shared
secret.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from ..decoding import decode_value
from ..errors import PacketError

# Upper bound of the requests and slots of one server that a report may state.
MAX_REQUESTS = 1_000_000
# Upper bound of the load of one flow that a report may state: 1,000 slots.
MAX_FEED_LOAD = 1_000_000_000
# Largest value of a habit (`placement.flow_habits`).
MAX_HABIT = 2

# Values of `Forward.offer`: an opening that only this agent has, one that its balancer
# may offer to a second agent, and one that another agent was offered before.
SINGLE_OFFER, FIRST_OFFER, SECOND_OFFER = 0, 1, 2


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of an agent's backend server.

    Attributes
    ----------
    accepting : bool
        Whether new flows are admitted.
    busy : float
        Number of requests in progress, averaged over about a second.
    running : int
        Number of requests in progress now.
    slots : int
        Number of requests that the server processes concurrently.
    flows : int
        Number of open flows.
    newest : list of int
        Newest revision of each kind of object, so that receivers detect missed changes.
    stopping : bool
        Whether the agent itself is shutting down.
    cold : bool
        Whether the server is in cold start.
    backend_left : bool
        Whether the server has deregistered, so that all its flows have ended.
    outstanding : int
        Number of requests in progress, expected on new flows, and queued at the agent.
    service_ms : float
        Mean milliseconds for which a request occupies a slot; 0 if unknown.
    short_flows : bool
        Whether most flows end after a single request, so that each opening is a
        request.
    ejected_ms : int
        Milliseconds for which the server gets no new flows because it fails what it
        accepts; 0 if it is in use.
    pledged : float
        Mean number of slots that the requests of the open flows occupy.
    failed_percent : int
        Percentage of the recent requests that the server failed.
    answer_age_ms : int or None
        Milliseconds since the server's newest answer; None without a recent one.
    feed_load : int
        Millionths of a slot that the requests of one more long flow will occupy.
    mixed : bool
        Whether the server gets long flows beside flows of one request, and both count.
    """

    accepting: bool
    busy: Annotated[float, Meta(ge=0, le=MAX_REQUESTS)]
    running: Annotated[int, Meta(ge=0, le=MAX_REQUESTS)]
    slots: Annotated[int, Meta(ge=1, le=MAX_REQUESTS)]
    flows: Annotated[int, Meta(ge=0)]
    newest: list[int]
    stopping: bool = False
    cold: bool = False
    backend_left: bool = False
    outstanding: Annotated[int, Meta(ge=0, le=MAX_REQUESTS)] = 0
    service_ms: Annotated[float, Meta(ge=0)] = 0.0
    short_flows: bool = False
    ejected_ms: Annotated[int, Meta(ge=0)] = 0
    pledged: Annotated[float, Meta(ge=0, le=MAX_REQUESTS)] = 0.0
    failed_percent: Annotated[int, Meta(ge=0, le=100)] = 0
    answer_age_ms: Annotated[int, Meta(ge=0)] | None = None
    feed_load: Annotated[int, Meta(ge=0, le=MAX_FEED_LOAD)] = 0
    mixed: bool = False


class Forward(msgspec.Struct, array_like=True, tag=1):
    """Forward a caller's packet to the agent that owns its flow.

    Attributes
    ----------
    origin : str
        IP address of the balancer that received it from the caller.
    data_centre : str
        Data centre where the flow entered; determines the order of the agents.
    version : int
        Version of the route table that the sender used.
    service : str
        Service of the flow by that route table.
    visited : list of str
        IP addresses of agents that do not hold the flow or did not admit it.
    wants_owner : bool
        Whether the owner is to confirm to the balancer that it owns the flow.
    data : bytes
        Encoded datagram of the packet.
    inquirer : str
        IP address of the agent that searches for the flow, to be answered if the
        receiver does not hold it; empty if the receiver is to search itself.
    habit : int
        Whether the flow will have one request (1) or many (2), if the balancer knows.
    offer : int
        Which offer of an opening this is; the balancer decides on the refusal of all
        but a single one.
    """

    origin: str
    data_centre: str
    version: int
    service: str
    visited: list[str]
    wants_owner: bool
    data: bytes
    inquirer: str = ""
    habit: Annotated[int, Meta(ge=0, le=MAX_HABIT)] = 0
    offer: Annotated[int, Meta(ge=SINGLE_OFFER, le=SECOND_OFFER)] = SINGLE_OFFER


class Owned(msgspec.Struct, array_like=True, tag=2):
    """Tell a balancer that the sender owns a flow.

    Attributes
    ----------
    flow : bytes
        Key of the flow.
    load : LoadReport
        Load of the sender's server.
    habit : int
        Whether flows of its route have one request (1) or many (2), if known.
    """

    flow: bytes
    load: LoadReport
    habit: Annotated[int, Meta(ge=0, le=MAX_HABIT)] = 0


class Registered(msgspec.Struct, array_like=True, tag=3):
    """Register flows of the sender with the first agent in their order."""

    flows: list[bytes]


class Load(msgspec.Struct, array_like=True, tag=4):
    """Report the load of the sender's backend server to siblings and balancers.

    Attributes
    ----------
    load : LoadReport
        The report.
    is_answer : bool
        Whether it answers a frame of the receiver.
    """

    load: LoadReport
    is_answer: bool = True


class Probe(msgspec.Struct, array_like=True, tag=5):
    """Send an agent the revisions that a balancer has; ask for its load if wanted.

    Attributes
    ----------
    data_centre : str
        Data centre of the balancer.
    newest : list of int
        Newest revision of each kind of object that the balancer has.
    digests : list of int
        Checksum of the objects of each kind that the balancer has.
    confirmation_age_ms : int or None
        Milliseconds since a node with a watch on the platform confirmed this state; 0
        if the balancer has one itself, None if no node has confirmed it.
    wants_load : bool
        Whether the agent is to answer with a load report.
    """

    data_centre: str
    newest: list[int]
    digests: list[int]
    confirmation_age_ms: int | None
    wants_load: bool


class Inquiry(msgspec.Struct, array_like=True, tag=6):
    """Ask an agent for the owners of flows."""

    flows: list[bytes]


class Findings(msgspec.Struct, array_like=True, tag=7):
    """Answer an `Inquiry`, or an offered packet that the backend server returned.

    Attributes
    ----------
    held : list of tuple of bytes and str
        Flows whose owner is known, with the owner's IP address.
    absent : list of bytes
        Flows that the backend server of the sender certainly does not hold.
    unsure : list of bytes
        Flows that only the backend server can tell, when it is offered a packet.
    started_together : bool or None
        Whether the sender and its backend server started together; None if unknown.
    server_missing : bool
        Whether the backend server has given the sender no sign of life and leaves
        packets unanswered, so that there is no use in offering it the unsure flows.
    process_seconds : float
        Seconds since the sender's process started.
    has_reported : bool
        Whether the backend server has reported to the sender since then.
    started_later : bool
        Whether the backend server started long after the sender.
    stopping : bool
        Whether the sender ends now, beside a server that holds no open flow.
    """

    held: list[tuple[bytes, str]]
    absent: list[bytes]
    unsure: list[bytes]
    started_together: bool | None = None
    server_missing: bool = False
    process_seconds: Annotated[float, Meta(ge=0)] = 0.0
    has_reported: bool = True
    started_later: bool = False
    stopping: bool = False


class ViewInquiry(msgspec.Struct, array_like=True, tag=8):
    """Ask a node with a watch on the platform for the revisions of its objects.

    Attributes
    ----------
    newest : list of int
        Newest revision of each kind of object that the sender has.
    """

    newest: list[int]


class ViewStatus(msgspec.Struct, array_like=True, tag=9):
    """Send a node the state of the platform's objects that the sender has.

    Attributes
    ----------
    newest : list of int
        Newest revision of each kind of object that the sender has.
    digests : list of int
        Checksum of the objects of each kind that the sender has.
    confirmation_age_ms : int or None
        Milliseconds since a node with a watch on the platform confirmed this state; 0
        if the sender has one itself, None if no node has confirmed it.
    """

    newest: list[int]
    digests: list[int]
    confirmation_age_ms: int | None


class Detour(msgspec.Struct, array_like=True, tag=10):
    """Relay a frame to a node that the sender cannot reach directly.

    Attributes
    ----------
    origin : str
        IP address of the sender of the frame.
    target : str
        IP address of its receiver.
    data : bytes
        Encoded frame.
    relayed : bool
        Whether a relay has forwarded it; no second one does.
    """

    origin: str
    target: str
    data: bytes
    relayed: bool = False


class PathProbe(msgspec.Struct, array_like=True, tag=13):
    """Ask a node for an answer on the direct way, or answer such a question."""

    is_answer: bool


class Refused(msgspec.Struct, array_like=True, tag=11):
    """Tell a balancer that an opening which it may offer elsewhere is refused.

    Attributes
    ----------
    flow : bytes
        Key of the flow.
    acknowledged : int
        Position for the reset of the caller.
    offered_to : str
        IP address of the agent that the balancer had sent the opening to.
    load : LoadReport
        Load of the sender's backend server.
    """

    flow: bytes
    acknowledged: Annotated[int, Meta(ge=0, lt=1 << 32)]
    offered_to: str
    load: LoadReport


PeerFrame = (
    Forward
    | Owned
    | Registered
    | Load
    | Probe
    | Inquiry
    | Findings
    | ViewInquiry
    | ViewStatus
    | Detour
    | PathProbe
    | Refused
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerFrame)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return a frame encoded as a datagram."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> PeerFrame:
    """Return the frame in a datagram or raise `PacketError`."""
    return decode_value(
        _decoder,
        data,
        PacketError,
        "peer frame is malformed; run the same release on every node",
    )


def next_forward(
    frame: Forward, visited: list[str], service: str = "", inquirer: str = ""
) -> Forward:
    """Return the frame for the next agent, which answers the balancer directly."""
    return Forward(
        frame.origin,
        frame.data_centre,
        frame.version,
        service or frame.service,
        visited,
        True,
        frame.data,
        inquirer,
        frame.habit,
        frame.offer,
    )
