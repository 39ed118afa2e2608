"""Distribute changes from seeds that watch the platform, to save platform calls.

Each node polls one parent once a second: a seed, or in a large fleet an agent that
relays a seed's status. The parent sends changes to its followers immediately. If a
parent does not answer, the node polls the next one; while no parent has a confirmation
from the platform, `ViewSync` watches the platform itself.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from ..clock import Clock
from ..connection.peer_frames import PeerFrame, ViewInquiry, ViewStatus
from ..version.owners import AgentEntry
from ..version.relay_tree import choose_relays, rotate_seeds
from .logs import log_event
from .object_view import KINDS, Kind, ObjectView
from .settings import PassthroughAgentSettings, PassthroughBalancerSettings
from .view_sync import ViewSync

PassthroughSettings = PassthroughBalancerSettings | PassthroughAgentSettings

INQUIRY_PERIOD_SECONDS = 1.0
# How often the parent's timeout is checked.
CHECK_PERIOD_SECONDS = 0.25
# A parent sends its status each second, and one status may be lost. A status without a
# confirmation from the platform does not count as an answer.
PARENT_TIMEOUT_SECONDS = 1.8
# How often a node that left its preferred parent polls that parent again.
FIRST_PARENT_RETRY_SECONDS = 30.0
# A confirmation is forwarded if it is newer than the last forwarded one by this much,
# so forwarding stops among nodes that poll each other in a cycle.
MIN_FORWARD_INTERVAL_SECONDS = 0.5
# Followers that have not polled for this long get no more status.
FOLLOWER_TIMEOUT_SECONDS = 3.0
# About 100 bytes each. The limit is a third of the target size; it is reached if two of
# three seeds are lost and no relay is known.
MAX_FOLLOWERS = 2_000


@dataclass(frozen=True, slots=True)
class RelayPosition:
    """Position of a node in the distribution tree.

    Attributes
    ----------
    host : str
        IP address of the node.
    data_centre : str
        Data centre of the node.
    fan_out : int
        Number of nodes that poll one node.
    """

    host: str
    data_centre: str
    fan_out: int


class ViewRelay:
    """Poll a parent for changes and send them to the followers of this node.

    Parameters
    ----------
    view : ObjectView
        Copy of the platform's objects.
    sync : ViewSync
        Receives the status of parents and the revisions of followers.
    send : callable
        Sends a frame to an IP address.
    position : RelayPosition
        Position of this node in the distribution tree.
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
        position: RelayPosition,
        list_seeds: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._view = view
        self._sync = sync
        self._send = send
        self._position = position
        self._list_seeds = list_seeds
        self._clock = clock
        self._parent_index = 0
        self._last_status_at = clock.monotonic()
        self._first_parent_tried_at = self._last_status_at
        self._followers: dict[str, float] = {}
        self._relays: list[str] = []
        # Time of the newest confirmation that was forwarded.
        self._forwarded_confirmation_at = float("-inf")

    async def run(self) -> None:
        """Poll one parent after another until one answers, then keep polling it."""
        inquired_at, had_timed_out = float("-inf"), False
        while True:
            now = self._clock.monotonic()
            timed_out = now - self._last_status_at > PARENT_TIMEOUT_SECONDS
            if now - inquired_at >= INQUIRY_PERIOD_SECONDS or timed_out > had_timed_out:
                self._send_inquiry(timed_out, now)
                inquired_at = now
            had_timed_out = timed_out
            await asyncio.sleep(CHECK_PERIOD_SECONDS)

    def _send_inquiry(self, timed_out: bool, now: float) -> None:
        parents = self.parents()
        if not parents:
            return
        if timed_out:
            self._parent_index += 1
        inquiry = ViewInquiry(self._view.newest)
        current = parents[self._parent_index % len(parents)]
        self._send(current, inquiry)
        if now - self._first_parent_tried_at > FIRST_PARENT_RETRY_SECONDS:
            self._first_parent_tried_at = now
            if current != parents[0]:
                self._send(parents[0], inquiry)

    def parents(self) -> list[str]:
        """Return the IP addresses of possible parents, the preferred first."""
        return [*self._relays, *rotate_seeds(self._position.host, self._list_seeds())]

    def set_agents(self, agents: list[AgentEntry]) -> None:
        """Choose relays among the entries of the directory."""
        position = self._position
        seeds = len(self._list_seeds())
        relays = choose_relays(
            position.host, position.data_centre, agents, seeds, position.fan_out
        )
        if relays != self._relays:
            log_event("relays_chosen", relays=relays, before=self._relays)
            self._relays = relays
            self._parent_index = 0

    def handle_frame(self, host: str, frame: ViewInquiry | ViewStatus) -> None:
        """Handle an inquiry of a follower or the status of a parent."""
        if type(frame) is ViewStatus:
            self._handle_status(host, frame)
            return
        is_known = self._followers.pop(host, None) is not None
        self._followers[host] = self._clock.monotonic()
        if len(self._followers) > MAX_FOLLOWERS:
            del self._followers[next(iter(self._followers))]
        if not is_known or frame.newest != self._view.newest:
            # Others get each status of this node's parent when it arrives, or this
            # node's own when the platform has confirmed its copy.
            self._send(host, self._status())
        self._sync.handle_peer_revisions(host, frame.newest)

    def _handle_status(self, host: str, status: ViewStatus) -> None:
        if status.confirmation_age_ms is not None:
            confirmed_at = self._clock.monotonic() - status.confirmation_age_ms / 1000
            self._last_status_at = max(self._last_status_at, confirmed_at)
            parents = self.parents()
            if parents and host == parents[0]:
                self._parent_index = 0
        self._sync.handle_peer_status(host, status)
        self._forward_status()

    def _forward_status(self) -> None:
        now = self._clock.monotonic()
        age_ms = self._sync.confirmation_age_ms(now)
        if age_ms is None or self._sync.watches_directly:
            return
        confirmed_at = now - age_ms / 1000
        if (
            confirmed_at - self._forwarded_confirmation_at
            >= MIN_FORWARD_INTERVAL_SECONDS
        ):
            self._forwarded_confirmation_at = confirmed_at
            self.notify_followers()

    def notify_followers(self) -> None:
        """Send the current status to all nodes that polled lately."""
        now = self._clock.monotonic()
        for host, inquired_at in list(self._followers.items()):
            if now - inquired_at > FOLLOWER_TIMEOUT_SECONDS:
                del self._followers[host]
            else:
                self._send(host, self._status())

    def _status(self) -> ViewStatus:
        view = self._view
        age_ms = self._sync.confirmation_age_ms(self._clock.monotonic())
        return ViewStatus(view.newest, view.digests, age_ms)


def choose_relayed_kinds(settings: PassthroughSettings) -> frozenset[Kind]:
    """Return the kinds that a node follows through seeds.

    Seeds watch all kinds, and the other nodes none. They also compare revisions with
    each balancer or agent that they exchange frames with, so that a seed that has lost
    the platform without noticing holds none of them back.
    """
    seeds = {host for host, _ in settings.passthrough.seeds}
    if not seeds - {settings.passthrough.host}:
        return frozenset()
    if settings.passthrough.host in seeds:
        return frozenset()
    return frozenset(KINDS)
