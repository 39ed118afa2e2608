"""Notice peers whose channel has gone silent, free of I/O."""

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
    """Say what the owner of the sockets should do about a peer."""

    PROBE = "probe"
    REBIND = "rebind"


@dataclass
class _Silence:
    since: float
    probed_at: float = 0.0
    rebound: bool = False


class ChannelMonitor:
    """Follow the peers that were sent something and have not answered.

    A silent peer is probed; if probes stay unanswered, its channel is rebound
    to a new source port once, and then the peer counts as unreachable.
    """

    def __init__(self) -> None:
        self._silent: dict[Address, _Silence] = {}

    def record_sent(self, peer: Address, now: float) -> None:
        """Note that something that is normally answered was sent."""
        if peer not in self._silent:
            self._silent[peer] = _Silence(now)

    def record_reply(self, peer: Address) -> None:
        """Note that the peer was heard on this channel."""
        self._silent.pop(peer, None)

    def unreachable(self, now: float) -> set[Address]:
        """Return the peers that stayed silent after their channel was rebound."""
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
