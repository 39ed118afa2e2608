"""Types that all layers speak of: members, configuration, limits, refusals."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec


class RefusalReason(IntEnum):
    """Say why a flow or a request was turned down."""

    FULL = 1
    DRAINING = 2
    COLD = 3
    NO_SERVER = 4
    UNKNOWN_SERVICE = 5
    DEADLINE = 6
    CANCELLED = 7
    UNREACHABLE = 8
    SHED = 9
    RATE = 10


class CloseReason(IntEnum):
    """Say why a flow ended."""

    CALLER = 1
    DATA_CENTRE_OUT = 2
    DRAINED = 3
    FLOW_LOST = 4
    EXPIRED = 5
    SERVER_LOST = 6


class Role(IntEnum):
    """Say what a member is."""

    BALANCER = 0
    AGENT = 1


class Status(IntEnum):
    """Say how a member is; at equal epochs the higher value wins.

    ALIVE and DRAINING come from the member itself, SUSPECT and DEAD from
    others, LEFT from the member as its last word.
    """

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberState(msgspec.Struct, array_like=True, frozen=True):
    """Describe one balancer or agent at one moment of its life.

    Attributes
    ----------
    name : str
        Unique name; an agent has the name of its backend server.
    role : int
        0 for a balancer, 1 for an agent.
    address : tuple of str and int
        UDP address that others send to.
    epoch : int
        Raised by the member alone; a higher epoch replaces a lower one.
    status : int
        Value of `Status`; at equal epochs the higher one replaces the lower.
    """

    name: str
    role: int
    data_centre: str
    address: tuple[str, int]
    epoch: int
    status: int
    control: str = ""


class ConfigObject(msgspec.Struct, array_like=True, frozen=True):
    """Carry one configuration object; `body` is JSON, None once deleted."""

    name: str
    version: int
    body: bytes | None


@dataclass(frozen=True)
class Limits:
    """State what a backend server bears, from its labels.

    Attributes
    ----------
    slots : int
        Requests that may run at once when warm.
    cold_limit : int
        Requests that may run at once in cold start.
    cold_seconds : float
        Shortest time in cold start.
    connections : int
        Flows that may be open at once.
    flow_rate : float
        New flows a second.
    speed : float
        Speed of one slot relative to others.
    """

    slots: int = 1
    cold_limit: int = 1
    cold_seconds: float = 10.0
    connections: int = 2000
    flow_rate: float = 500.0
    speed: float = 1.0

    @property
    def weight(self) -> float:
        """Return the capacity relative to other backend servers."""
        return self.slots * self.speed


def limits_from_labels(labels: dict[str, str]) -> Limits:
    """Return the limits that valid labels state; others keep their default."""
    converters = {
        "slots": int,
        "cold-limit": int,
        "cold-seconds": float,
        "connections": int,
        "flow-rate": float,
        "speed": float,
    }
    values = {
        key.replace("-", "_"): convert(labels[key])
        for key, convert in converters.items()
        if key in labels
    }
    return replace(Limits(), **values)
