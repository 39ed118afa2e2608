"""Routing of callers' packets at a balancer, without I/O or per-flow state."""

from __future__ import annotations

from dataclasses import dataclass

from ..domain import CloseReason, RefusalReason
from ..errors import AuthenticationError, PacketError
from ..version.placement import Candidate, PlacementTable, place_flow
from ..version.view import View
from .keys import KeyRing
from .packets import (
    FlowClosed,
    Open,
    Packet,
    Refused,
    decode_from_caller,
    encode_packet,
)
from .token import RouteToken, verify_token

Address = tuple[str, int]
NO_SERVER_RETRY_MS = 250


@dataclass(frozen=True)
class Forward:
    """Forward the packet to the agent in its route token."""

    address: Address


@dataclass(frozen=True)
class Placed:
    """Forward an `Open` to the agent that placement chose."""

    address: Address
    packet: Open
    candidate: Candidate
    candidates: int


@dataclass(frozen=True)
class Reply:
    """Answer the caller from the balancer."""

    data: bytes
    reason: str
    service: str
    flow_id: bytes


@dataclass(frozen=True)
class Drop:
    """Discard the packet and count the reason."""

    reason: str


Route = Forward | Placed | Reply | Drop


def route_packet(data: bytes, view: View, keys: KeyRing) -> Route:
    """Decide what to do with one datagram from a caller."""
    try:
        packet = decode_from_caller(data)
    except PacketError:
        return Drop("malformed")
    if type(packet) is Open:
        return _route_open(packet, view.table(packet.service))
    try:
        token = verify_token(packet.token, keys)
    except AuthenticationError:
        return Drop("forged")
    if view.is_data_centre_out(token.data_centre):
        return _close_flow(token)
    return Forward((token.host, token.port))


def _route_open(packet: Open, table: PlacementTable | None) -> Route:
    if table is None:
        return _refuse(packet, RefusalReason.UNKNOWN_SERVICE)
    candidate = place_flow(table, packet.flow_id, packet.attempt)
    if candidate is None:
        return _refuse(packet, RefusalReason.NO_SERVER)
    return Placed(candidate.address, packet, candidate, table.size)


def _refuse(packet: Open, reason: RefusalReason) -> Reply:
    refused = Refused(packet.flow_id, packet.attempt, reason, NO_SERVER_RETRY_MS)
    return _make_reply(refused, reason.name.lower(), packet.service, packet.flow_id)


def _close_flow(token: RouteToken) -> Reply:
    closed = FlowClosed(token.flow_id, token.incarnation, CloseReason.DATA_CENTRE_OUT)
    return _make_reply(closed, "data_centre_out", token.service, token.flow_id)


def _make_reply(packet: Packet, reason: str, service: str, flow_id: bytes) -> Reply:
    return Reply(encode_packet(packet), reason, service, flow_id)
