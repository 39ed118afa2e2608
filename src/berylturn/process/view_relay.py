"""Follow the platform through a seed that watches it, so that calls stay few.

Each node asks one seed, or in a large fleet an agent that passes on a seed's words,
once a second whether it knows more, and hears at once of a change. A node whose parent
is silent asks the next one; while none has word of the platform, `ViewSync` watches the
platform itself.
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

ASK_SECONDS = 1.0
# How soon a silent parent is noticed.
CHECK_SECONDS = 0.25
# A parent's word comes each second and may be lost once. A parent without word of the
# platform is as good as silent.
SILENT_SECONDS = 1.8
# A node whose first parent was silent asks it again this often.
RETURN_SECONDS = 30.0
# A word is passed on if it is younger than the last one by this; nodes that ask each
# other in a circle thus fall silent.
PASS_ON_SECONDS = 0.5
# Followers that have not asked for this long are told nothing.
FOLLOWER_SECONDS = 3.0
# About 100 bytes each; a third of the target size, where two of three seeds are lost
# and no relay is known.
MAX_FOLLOWERS = 2_000


@dataclass(frozen=True, slots=True)
class RelayPlace:
    """Where a node is among those that ask one another for changes.

    Attributes
    ----------
    host : str
        Its IP address.
    data_centre : str
        Where it is.
    fan_out : int
        How many nodes ask one node.
    """

    host: str
    data_centre: str
    fan_out: int


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
    place : RelayPlace
        Where this node is among those that ask.
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
        place: RelayPlace,
        list_seeds: Callable[[], list[str]],
        clock: Clock,
    ) -> None:
        self._view = view
        self._sync = sync
        self._send = send
        self._place = place
        self._list_seeds = list_seeds
        self._clock = clock
        self._turn = 0
        self._heard_at = clock.monotonic()
        self._returned_at = self._heard_at
        self._followers: dict[str, float] = {}
        self._relays: list[str] = []
        # When the youngest word that was passed on was true.
        self._passed_on = float("-inf")

    async def run(self) -> None:
        """Ask one parent after the other until one answers, then go on asking it."""
        asked_at, was_silent = float("-inf"), False
        while True:
            now = self._clock.monotonic()
            silent = now - self._heard_at > SILENT_SECONDS
            if now - asked_at >= ASK_SECONDS or silent > was_silent:
                self._ask(silent, now)
                asked_at = now
            was_silent = silent
            await asyncio.sleep(CHECK_SECONDS)

    def _ask(self, silent: bool, now: float) -> None:
        parents = self.parents()
        if not parents:
            return
        if silent:
            self._turn += 1
        inquiry = ViewInquiry(self._view.newest)
        current = parents[self._turn % len(parents)]
        self._send(current, inquiry)
        if now - self._returned_at > RETURN_SECONDS:
            self._returned_at = now
            if current != parents[0]:
                self._send(parents[0], inquiry)

    def parents(self) -> list[str]:
        """Return the IP addresses of the nodes to ask, the best first."""
        return [*self._relays, *rotate_seeds(self._place.host, self._list_seeds())]

    def set_agents(self, agents: list[AgentEntry]) -> None:
        """Take the entries of the directory, of which some pass words on."""
        place = self._place
        seeds = len(self._list_seeds())
        relays = choose_relays(
            place.host, place.data_centre, agents, seeds, place.fan_out
        )
        if relays != self._relays:
            log_event("relays_chosen", relays=relays, before=self._relays)
            self._relays = relays
            self._turn = 0

    def take(self, host: str, frame: ViewInquiry | ViewStatus) -> None:
        """Take a question of a follower, or the word of a parent."""
        if type(frame) is ViewStatus:
            self._take_word(host, frame)
            return
        known = self._followers.pop(host, None) is not None
        self._followers[host] = self._clock.monotonic()
        if len(self._followers) > MAX_FOLLOWERS:
            del self._followers[next(iter(self._followers))]
        if self._sync.follows or not known:
            # Other followers get each word of this node's own parent at once.
            self._send(host, self._status())
        self._sync.note_peer(host, frame.newest)

    def _take_word(self, host: str, word: ViewStatus) -> None:
        if word.confirmed_age_ms is not None:
            self._heard_at = self._clock.monotonic()
            parents = self.parents()
            if parents and host == parents[0]:
                self._turn = 0
        self._sync.note_balancer(host, word)
        self._pass_on()

    def _pass_on(self) -> None:
        now = self._clock.monotonic()
        age_ms = self._sync.word_age_ms(now)
        if age_ms is None or self._sync.follows:
            return
        true_at = now - age_ms / 1000
        if true_at - self._passed_on >= PASS_ON_SECONDS:
            self._passed_on = true_at
            self.announce()

    def announce(self) -> None:
        """Tell the nodes that asked lately what is known now."""
        now = self._clock.monotonic()
        for host, asked_at in list(self._followers.items()):
            if now - asked_at > FOLLOWER_SECONDS:
                del self._followers[host]
            else:
                self._send(host, self._status())

    def _status(self) -> ViewStatus:
        view = self._view
        age_ms = self._sync.word_age_ms(self._clock.monotonic())
        return ViewStatus(view.newest, view.digests, age_ms)


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
