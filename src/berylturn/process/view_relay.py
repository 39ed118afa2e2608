"""Follow the platform through a seed that watches it, so that calls stay few.

Each node asks one seed a second whether it knows more, and hears at once of a change.
A node whose seed is silent asks the next one; while none answers that the platform
serves it, `ViewSync` watches the platform itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..clock import Clock
from ..connection.peer_frames import PeerFrame, ViewInquiry, ViewStatus
from .object_view import KINDS, Kind, ObjectView
from .settings import PassthroughAgentSettings, PassthroughBalancerSettings
from .view_sync import ViewSync

PassthroughSettings = PassthroughBalancerSettings | PassthroughAgentSettings

ASK_SECONDS = 1.0
# A seed answers within milliseconds; an answer may be lost once. One that does not
# follow the platform itself is as good as silent.
SILENT_SECONDS = 1.8
# Followers that have not asked for this long are told nothing.
FOLLOWER_SECONDS = 3.0
# About 100 bytes each; all nodes of the target size behind three seeds.
MAX_FOLLOWERS = 2_000


class ViewRelay:
    """Ask seeds for changes, and tell the nodes that ask this one.

    Parameters
    ----------
    view : ObjectView
        Copy of the platform's objects.
    sync : ViewSync
        Told what seeds say.
    send : callable
        Sends a frame to an IP address.
    list_seeds : callable
        Returns the IP addresses of the seeds other than this node.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        view: ObjectView,
        sync: ViewSync,
        send: Callable[[str, PeerFrame], None],
        list_seeds: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._view = view
        self._sync = sync
        self._send = send
        self._list_seeds = list_seeds
        self._clock = clock
        self._turn = 0
        self._heard_at = clock.monotonic()
        self._followers: dict[str, float] = {}

    async def run(self) -> None:
        """Ask one seed after the other until one answers, then go on asking it."""
        while True:
            seeds = self._list_seeds()
            if seeds:
                if self._clock.monotonic() - self._heard_at > SILENT_SECONDS:
                    self._turn += 1
                self._send(
                    seeds[self._turn % len(seeds)], ViewInquiry(self._view.newest)
                )
            await asyncio.sleep(ASK_SECONDS)

    def take(self, host: str, frame: ViewInquiry | ViewStatus) -> None:
        """Take a question of a follower, or the answer of a seed."""
        now = self._clock.monotonic()
        if type(frame) is ViewStatus:
            if frame.following:
                self._heard_at = now
            self._sync.note_balancer(host, frame)
            return
        self._followers.pop(host, None)
        self._followers[host] = now
        if len(self._followers) > MAX_FOLLOWERS:
            del self._followers[next(iter(self._followers))]
        self._send(host, self._status())
        self._sync.note_peer(host, frame.newest)

    def announce(self) -> None:
        """Tell the nodes that asked lately of a change."""
        now = self._clock.monotonic()
        for host, asked_at in list(self._followers.items()):
            if now - asked_at > FOLLOWER_SECONDS:
                del self._followers[host]
            else:
                self._send(host, self._status())

    def _status(self) -> ViewStatus:
        view = self._view
        return ViewStatus(view.newest, view.digests, self._sync.follows)


def choose_relayed(settings: PassthroughSettings) -> frozenset[Kind]:
    """Return the kinds that a node leaves to seeds.

    Seeds watch all kinds. Other balancers watch those that bind what they do within
    seconds, and leave the directory, which changes most. Agents hear of all kinds from
    each balancer too, and leave all.
    """
    seeds = {host for host, _ in settings.passthrough.seeds}
    if not seeds - {settings.passthrough.host}:
        return frozenset()
    if isinstance(settings, PassthroughAgentSettings):
        return frozenset(KINDS)
    if settings.passthrough.host in seeds:
        return frozenset()
    return frozenset({Kind.AGENTS})
