"""Detect peers that no longer answer, without I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

Address = tuple[str, int]

PROBE_AFTER_SECONDS = 0.5
PROBE_EVERY_SECONDS = 0.25
REBIND_AFTER_SECONDS = 1.2
UNREACHABLE_AFTER_SECONDS = 2.0
FORGET_AFTER_SECONDS = 30.0


class ChannelAction(Enum):
    """What the owner of the sockets should do about a peer that does not answer."""

    PROBE = "probe"
    REBIND = "rebind"


@dataclass
class _Silence:
    since: float
    probed_at: float = 0.0
    rebound: bool = False


class ChannelMonitor:
    """Track the peers that have not answered since something was sent to them.

    Such a peer is probed. If it does not answer the probes, its channel is rebound
    once to a new source port; if that does not help, the peer is unreachable.
    """

    def __init__(self) -> None:
        self._silent: dict[Address, _Silence] = {}

    def record_sent(self, peer: Address, now: float) -> None:
        """Record that something was sent that the peer normally answers."""
        if peer not in self._silent:
            self._silent[peer] = _Silence(now)

    def record_reply(self, peer: Address) -> None:
        """Record that the peer sent something on this channel."""
        self._silent.pop(peer, None)

    def unreachable(self, now: float) -> set[Address]:
        """Return the peers that did not answer after their channel was rebound."""
        return {
            peer
            for peer, silence in self._silent.items()
            if now - silence.since > UNREACHABLE_AFTER_SECONDS
        }

    def tick(self, now: float) -> list[tuple[Address, ChannelAction]]:
        """Return the actions that are due."""
        actions = []
        for peer, silence in list(self._silent.items()):
            age = now - silence.since
            if age > FORGET_AFTER_SECONDS:
                del self._silent[peer]
            elif age > REBIND_AFTER_SECONDS and not silence.rebound:
                silence.rebound = True
                silence.probed_at = now
                actions.append((peer, ChannelAction.REBIND))
            elif (
                age > PROBE_AFTER_SECONDS
                and now - silence.probed_at > PROBE_EVERY_SECONDS
            ):
                silence.probed_at = now
                actions.append((peer, ChannelAction.PROBE))
        return actions
