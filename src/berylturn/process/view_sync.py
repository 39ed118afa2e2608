"""Follow the platform, directly or through peers, so that copies stay up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection

import msgspec

from ..clock import Clock
from ..connection.peer_frames import Probe, ViewStatus
from ..errors import PlatformError, PlatformUnavailable, WatchExpired
from ..version.agent_directory import DirectoryTrust
from .http_client import HttpConnection
from .logs import log_event, log_warning
from .object_view import KINDS, Kind, ObjectStore, ObjectView
from .tasks import TaskGroup

# Pause after a failed call, doubled up to the longest; spread over the fleet.
FIRST_PAUSE_SECONDS = 0.1
LONGEST_PAUSE_SECONDS = 1.0
# While the platform fails, one kind's calls find out when it serves again; the others
# wait for that, but not longer than this.
LONGEST_WAIT_SECONDS = 2.0
# While the platform turns this node away, a peer is asked this often.
PEER_PERIOD_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 1.0
# A relayed node follows the platform itself when no peer that does has been heard of
# for this long; such peers confirm once a second, and one word of theirs may be lost.
RELAY_SECONDS = 2.2
RELAY_CHECK_SECONDS = 0.3
# A node that has just read the platform waits this long for such a peer, which is asked
# once a second.
RELAY_START_SECONDS = 1.5
# A node that has just started waits this long for a first copy from a peer, which
# answers within milliseconds, and this long for the word of one that follows the
# platform; it asks the platform itself then.
FIRST_COPY_SECONDS = 0.1
FIRST_WORD_SECONDS = 0.5
START_CHECK_SECONDS = 0.02
# Pulls that frames of peers may cause.
PULL_GAP_SECONDS = 0.3
# Balancers tell each second what they know; two of these may be lost.
AGREED_SECONDS = 3.5
# Pause before the next watch after a change, doubled while changes go on, so that
# changes in quick succession cost few calls a node. A single change is seen at once,
# and peers tell of later ones meanwhile.
FIRST_GATHER_SECONDS = 0.25
LONGEST_GATHER_SECONDS = {
    Kind.CONFIGURATION: 0.5,
    Kind.EVACUATIONS: 0.5,
    Kind.AGENTS: 1.0,
}
# A watch that waited this long ends a succession of changes.
QUIET_WATCH_SECONDS = 2.0


class ViewSync:
    """Follow the platform, and peers while the platform turns this node away.

    Parameters
    ----------
    view : ObjectView
        Kept up to date.
    store : ObjectStore
        The platform.
    tasks : TaskGroup
        Owner of the tasks.
    clock : Clock
        Source of time.
    peer_port : int
        Port at which peers share their view.
    list_peers : callable
        Returns IP addresses of nodes that may know more, the likeliest first.
    relayed : collection of Kind
        Kinds that are left to peers that watch the platform, so that calls grow more
        slowly than the fleet. They are read from the platform where no peer has them.
    """

    def __init__(
        self,
        view: ObjectView,
        store: ObjectStore,
        tasks: TaskGroup,
        clock: Clock,
        peer_port: int,
        list_peers: Callable[[], list[str]],
        relayed: Collection[Kind] = (),
    ) -> None:
        self._view = view
        self._store = store
        self._tasks = tasks
        self._clock = clock
        self._peer_port = peer_port
        self._list_peers = list_peers
        self._relayed = relayed
        self._confirmed_at = float("-inf")
        # What a balancer said, and when, while not all of it is here.
        self._claim: tuple[Probe | ViewStatus, float] | None = None
        self._following: set[Kind] = set()
        self._agents_agreed_at = float("-inf")
        self._agents_known_at: float | None = None
        self._asking: Kind | None = None
        self._served = asyncio.Event()
        self._pulled_at = float("-inf")
        self._pulling = False

    @property
    def follows(self) -> bool:
        """Tell whether the platform serves all watches of this node itself."""
        return all(k in self._following and not self._is_relayed(k) for k in KINDS)

    @property
    def connected(self) -> bool:
        """Tell whether the platform serves this node, or peers stand in for it."""
        return all(k in self._following or self._is_relayed(k) for k in KINDS)

    def word_age_ms(self, now: float) -> int | None:
        """Return the milliseconds since a node that follows the platform held the same.

        Words age on their way from node to node, so nodes that ask each other in a
        circle do not keep up their trust.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self.follows:
            return 0
        if not self.connected:
            return None
        return int(1000 * (now - self._confirmed_at))

    def directory_trust(self, now: float) -> DirectoryTrust:
        """Return how far the directory of agents can be relied on.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self._agents_known_at is None:
            return DirectoryTrust(False, 0.0)
        agreed = now - self._agents_agreed_at < AGREED_SECONDS
        return DirectoryTrust(agreed, now - self._agents_known_at)

    def start(self) -> None:
        """Start following."""
        for kind in KINDS:
            self._tasks.start(self._follow(kind), f"follow_{kind}")
        self._tasks.start(self._ask_peers(), "ask_peers")

    def note_balancer(self, host: str, claim: Probe | ViewStatus) -> None:
        """Compare with a balancer, whose openings come from what it knows.

        Parameters
        ----------
        host : str
            IP address of the balancer.
        claim : Probe or ViewStatus
            What it knows, and whether the platform serves its watches now.
        """
        self._claim = (claim, self._clock.monotonic())
        self._weigh_claim()
        if self._view.misses(claim.newest, claim.digests):
            self.pull_from(host)

    def note_peer(self, host: str, newest: list[int]) -> None:
        """Pull from a peer that knows of a change which is missing here.

        Parameters
        ----------
        host : str
            IP address of the peer.
        newest : list of int
            Newest revision of each kind that it knows.
        """
        if self._view.lacks(newest):
            self.pull_from(host)

    def pull_from(self, host: str) -> None:
        """Pull from a peer that has shown a newer configuration."""
        now = self._clock.monotonic()
        if not self._pulling and now - self._pulled_at >= PULL_GAP_SECONDS:
            self._tasks.spawn(self._pull(host))

    def _weigh_claim(self) -> None:
        """Take a balancer's word for what is held here, once it is all here."""
        if self._claim is None:
            return
        claim, heard_at = self._claim
        if not self._view.matches(claim.newest, claim.digests):
            return
        self._claim = None
        self._agents_agreed_at = max(self._agents_agreed_at, heard_at)
        if claim.confirmed_age_ms is not None:
            true_at = heard_at - claim.confirmed_age_ms / 1000
            self._confirmed_at = max(self._confirmed_at, true_at)

    async def _follow(self, kind: Kind) -> None:
        pause = FIRST_PAUSE_SECONDS
        lost_at: float | None = None
        listed = False
        gather = FIRST_GATHER_SECONDS
        relayed = False
        await self._start_from_peers(kind)
        while True:
            try:
                if self._is_relayed(kind):
                    if not relayed:
                        self._log_relay("platform_left_to_peers", kind)
                    relayed = True
                    lost_at = None
                    listed = kind in self._following
                    await asyncio.sleep(RELAY_CHECK_SECONDS)
                    continue
                if relayed:
                    self._log_relay("platform_followed_again", kind)
                relayed = False
                if not listed:
                    revision, objects = await self._store.list_objects(kind)
                    self._view.replace(kind, revision, objects)
                    self._note_answer(kind)
                    self._note_served(kind)
                    listed = True
                    self._following.add(kind)
                    if lost_at is not None:
                        self._log_regained(kind, lost_at)
                        lost_at = None
                    if await self._finds_relay(kind):
                        continue
                position = self._view.snapshots[kind].at_revision
                asked_at = self._clock.monotonic()
                revision, changes = await self._store.watch_objects(kind, position)
                self._view.apply(kind, revision, changes)
                self._note_answer(kind)
                pause = FIRST_PAUSE_SECONDS
                if self._clock.monotonic() - asked_at > QUIET_WATCH_SECONDS:
                    gather = FIRST_GATHER_SECONDS
                if changes:
                    await asyncio.sleep(gather)
                    gather = min(2 * gather, LONGEST_GATHER_SECONDS[kind])
            except WatchExpired:
                log_event("watch_expired", kind=kind, revision=position)
                listed = False
            except PlatformError as error:
                if lost_at is None:
                    lost_at = self._clock.monotonic()
                    self._following.discard(kind)
                    log_warning("platform_lost", kind=kind, error=str(error))
                listed = False
                await self._wait_after_failure(kind, pause)
                pause = min(2 * pause, LONGEST_PAUSE_SECONDS)

    async def _wait_after_failure(self, kind: Kind, pause: float) -> None:
        """Wait before the next call, all kinds but one until that one is served."""
        if self._asking is None:
            self._asking = kind
            self._served.clear()
        if self._asking is kind:
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            return
        try:
            async with asyncio.timeout(LONGEST_WAIT_SECONDS):
                await self._served.wait()
        except TimeoutError:
            # The one that asks may itself be stuck on a silent connection.
            return

    def _note_served(self, kind: Kind) -> None:
        if self._asking is kind:
            self._asking = None
            self._served.set()

    def _note_answer(self, kind: Kind) -> None:
        if kind is Kind.AGENTS:
            self._agents_agreed_at = self._clock.monotonic()
            self._note_directory()

    def _note_directory(self) -> None:
        known = self._view.snapshots[Kind.AGENTS].known
        if known and self._agents_known_at is None:
            self._agents_known_at = self._clock.monotonic()

    def _is_relayed(self, kind: Kind) -> bool:
        """Tell whether a peer that follows the platform keeps a kind up to date."""
        silent = self._clock.monotonic() - self._confirmed_at
        known = self._view.snapshots[kind].known
        return known and kind in self._relayed and silent < RELAY_SECONDS

    async def _start_from_peers(self, kind: Kind) -> None:
        """Wait for a peer's copy and word, which spare the platform a list."""
        if kind not in self._relayed:
            return
        began = self._clock.monotonic()
        while not self._is_relayed(kind):
            known = self._view.snapshots[kind].known
            longest = FIRST_WORD_SECONDS if known else FIRST_COPY_SECONDS
            if self._clock.monotonic() - began >= longest:
                return
            await asyncio.sleep(START_CHECK_SECONDS)

    async def _finds_relay(self, kind: Kind) -> bool:
        """Wait for a peer that follows the platform, for a node that just read it."""
        if kind not in self._relayed:
            return False
        until = self._clock.monotonic() + RELAY_START_SECONDS
        while not self._is_relayed(kind) and self._clock.monotonic() < until:
            await asyncio.sleep(RELAY_CHECK_SECONDS)
        return self._is_relayed(kind)

    def _log_relay(self, event: str, kind: Kind) -> None:
        age = self._clock.monotonic() - self._confirmed_at
        revision = self._view.snapshots[kind].at_revision
        log_event(event, kind=kind, confirmed_age=round(age, 3), revision=revision)

    def _log_regained(self, kind: Kind, lost_at: float) -> None:
        away = self._clock.monotonic() - lost_at
        snapshot = self._view.snapshots[kind]
        log_event(
            "platform_regained",
            kind=kind,
            away_seconds=round(away, 3),
            revision=snapshot.at_revision,
            objects=len(snapshot.objects),
        )

    async def _ask_peers(self) -> None:
        turn = 0
        while True:
            if not self.connected:
                peers = self._list_peers()
                if peers:
                    await self._pull(peers[turn % len(peers)])
                    turn += 1
            await asyncio.sleep(PEER_PERIOD_SECONDS)

    async def _pull(self, host: str) -> None:
        self._pulling = True
        connection = HttpConnection((host, self._peer_port))
        before = self._view.newest
        try:
            answer = await connection.request(
                "GET", self._view.export_path(), seconds=PULL_TIMEOUT_SECONDS
            )
            if answer.status == 200:
                self._view.merge(answer.body)
                self._note_directory()
                self._weigh_claim()
                if self._view.newest != before:
                    log_event("view_pulled", peer=host, newest=self._view.newest)
        except (PlatformUnavailable, msgspec.DecodeError) as error:
            log_event("peer_not_reached", peer=host, error=str(error))
        finally:
            connection.close()
            self._pulling = False
            self._pulled_at = self._clock.monotonic()
