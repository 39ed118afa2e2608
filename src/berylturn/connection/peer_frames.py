"""Frames about passthrough flows between balancers and agents.

They travel between the nodes' own ports, which callers do not reach, so unlike the
frames of `connection.frames` they are not signed; no secret is given to the nodes.
"""

from __future__ import annotations

import msgspec

from ..errors import PacketError


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """What an agent says of its backend server.

    Attributes
    ----------
    accepting : bool
        Whether new flows are welcome.
    busy : float
        Requests under way, averaged over about a second.
    running : int
        Requests under way now.
    slots : int
        Requests that the server works on at once.
    flows : int
        Flows that are open.
    newest : list of int
        Highest revision of each kind of object, to notice what is missing.
    stopping : bool
        Whether the agent itself is about to stop.
    cold : bool
        Whether the server is in cold start.
    backend_left : bool
        Whether the server has said that it is gone, with all its flows.
    """

    accepting: bool
    busy: float
    running: int
    slots: int
    flows: int
    newest: list[int]
    stopping: bool = False
    cold: bool = False
    backend_left: bool = False


class Forward(msgspec.Struct, array_like=True, tag=1):
    """A caller's packet on its way to the agent that owns its flow.

    Attributes
    ----------
    origin : str
        IP address of the balancer that took it from the caller.
    data_centre : str
        Data centre where the flow entered; it decides the order of agents.
    version : int
        Version of the route table that the sender used.
    service : str
        Service that the table gives.
    visited : list of str
        IP addresses of agents that do not have the flow or did not admit it.
    report : bool
        Whether the balancer wants to hear who owns the flow.
    data : bytes
        The packet.
    inquirer : str
        IP address of the agent that searches for the flow and wants to hear if the
        receiver does not hold it; empty when the receiver is to search itself.
    """

    origin: str
    data_centre: str
    version: int
    service: str
    visited: list[str]
    report: bool
    data: bytes
    inquirer: str = ""


class Owned(msgspec.Struct, array_like=True, tag=2):
    """Tell a balancer that the sender owns a flow."""

    flow: bytes
    load: LoadReport


class Registered(msgspec.Struct, array_like=True, tag=3):
    """Tell the first agent in the order of some flows that the sender owns them."""

    flows: list[bytes]


class Load(msgspec.Struct, array_like=True, tag=4):
    """Tell siblings and balancers the load of the sender's backend server."""

    load: LoadReport


class Probe(msgspec.Struct, array_like=True, tag=5):
    """Tell an agent what a balancer knows, or ask for its load.

    Attributes
    ----------
    data_centre : str
        Where the balancer is.
    newest : list of int
        Newest revision of each kind of object that the balancer knows.
    digests : list of int
        Checksum of the objects of each kind that the balancer knows.
    word_age_ms : int or None
        Milliseconds since a node that follows the platform said the same; 0 if it
        is the balancer itself, None if there is none.
    ask : bool
        Whether a load report is wanted.
    """

    data_centre: str
    newest: list[int]
    digests: list[int]
    word_age_ms: int | None
    ask: bool


class Inquiry(msgspec.Struct, array_like=True, tag=6):
    """Ask an agent which of some flows it knows."""

    flows: list[bytes]


class Findings(msgspec.Struct, array_like=True, tag=7):
    """Answer an `Inquiry`, or an offer that its server handed back.

    Attributes
    ----------
    held : list of tuple of bytes and str
        Flows whose owner is known, with the owner's IP address.
    absent : list of bytes
        Flows that the backend server of the sender certainly does not hold.
    unsure : list of bytes
        Flows that its server must be offered a packet of.
    started_together : bool or None
        Whether its server started about when the sender did; None if that is unknown.
    """

    held: list[tuple[bytes, str]]
    absent: list[bytes]
    unsure: list[bytes]
    started_together: bool | None = None


class ViewInquiry(msgspec.Struct, array_like=True, tag=8):
    """Ask a node that follows the platform whether anything has changed."""

    newest: list[int]


class ViewStatus(msgspec.Struct, array_like=True, tag=9):
    """Tell a node what the sender knows of the platform's objects.

    Attributes
    ----------
    newest : list of int
        Newest revision of each kind of object that the sender knows.
    digests : list of int
        Checksum of the objects of each kind that the sender knows.
    word_age_ms : int or None
        Milliseconds since a node that follows the platform said the same; 0 if it
        is the sender itself, None if there is none.
    """

    newest: list[int]
    digests: list[int]
    word_age_ms: int | None


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
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerFrame)


def encode_frame(frame: PeerFrame) -> bytes:
    """Return the datagram of a frame."""
    return _encoder.encode(frame)


def decode_frame(data: bytes) -> PeerFrame:
    """Return the frame in a datagram or raise `PacketError`."""
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise PacketError(f"unreadable frame: {error}") from error


def forward_on(
    frame: Forward, visited: list[str], service: str = "", inquirer: str = ""
) -> Forward:
    """Return the frame for the next agent, which answers the balancer itself."""
    return Forward(
        frame.origin,
        frame.data_centre,
        frame.version,
        service or frame.service,
        visited,
        True,
        frame.data,
        inquirer,
    )
