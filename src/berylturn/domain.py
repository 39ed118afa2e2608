"""Types shared by all layers: members, configuration, limits, refusals."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import IntEnum

import msgspec


class RefusalReason(IntEnum):
    """Reason why a flow or a request was refused."""

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
    """Reason why a flow ended."""

    CALLER = 1
    DATA_CENTRE_OUT = 2
    DRAINED = 3
    FLOW_LOST = 4
    EXPIRED = 5
    SERVER_LOST = 6


class Role(IntEnum):
    """Role of a member."""

    BALANCER = 0
    AGENT = 1


class Status(IntEnum):
    """Status of a member; at equal epochs the higher value wins.

    ALIVE and DRAINING are set by the member itself, SUSPECT and DEAD by other
    members, and LEFT by the member itself when it leaves.
    """

    ALIVE = 0
    DRAINING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class MemberState(msgspec.Struct, array_like=True, frozen=True):
    """State of one balancer or agent at one epoch.

    Attributes
    ----------
    name : str
        Unique name; an agent has the name of its backend server.
    role : int
        0 for a balancer, 1 for an agent.
    address : tuple of str and int
        UDP address that other members send to.
    epoch : int
        Increased by the member only; a higher epoch replaces a lower one.
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
    """One configuration object; `body` is JSON, or None if it was deleted."""

    name: str
    version: int
    body: bytes | None


@dataclass(frozen=True)
class Limits:
    """Capacity limits of a backend server, set by its labels.

    Attributes
    ----------
    slots : int
        Requests that may run concurrently after the cold start.
    cold_limit : int
        Requests that may run concurrently during the cold start.
    cold_seconds : float
        Minimum length of the cold start.
    connections : int
        Flows that may be open concurrently.
    flow_rate : float
        New flows per second.
    speed : float
        Speed of one slot relative to other backend servers.
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
    """Return the limits that valid labels set; other limits keep their default."""
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
