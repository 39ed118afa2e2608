"""Keep copies of the platform's objects up to date, by watches or through peers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection
from functools import partial

from ..clock import Clock
from ..connection.peer_frames import Probe, ViewStatus
from ..errors import PlatformError, WatchExpired
from ..version.agent_directory import DirectoryTrust
from .http_client import HttpConnection
from .logs import log_event, log_warning
from .object_view import KINDS, Kind, ObjectStore, ObjectView
from .platform_check import PlatformCheck
from .tasks import TaskGroup

# Exponential backoff after a failed call, with jitter to spread the fleet's calls.
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
# While the platform fails, only one kind retries, to detect the recovery; the other
# kinds wait for it, but no longer than this.
MAX_OUTAGE_WAIT_SECONDS = 2.0
# How often a peer is polled while the platform does not serve this node.
PEER_PULL_PERIOD_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 1.0
# A node watches the platform itself if no peer with a watch has confirmed its relayed
# kinds for this long; peers confirm once a second, and one confirmation may be lost.
RELAY_TIMEOUT_SECONDS = 2.2
RELAY_CHECK_PERIOD_SECONDS = 0.3
# After a node has listed objects, it waits this long for a confirmation before it
# starts a watch; peers are polled once a second.
RELAY_WAIT_SECONDS = 1.5
# A starting node waits this long for a first copy from a peer, which answers within
# milliseconds, and this long for a confirmation from a peer that watches the platform;
# after that it reads the platform itself.
FIRST_COPY_TIMEOUT_SECONDS = 0.1
FIRST_CONFIRMATION_TIMEOUT_SECONDS = 0.5
START_CHECK_PERIOD_SECONDS = 0.02
# Minimum interval between pulls triggered by frames of peers.
MIN_PULL_INTERVAL_SECONDS = 0.3
# Balancers send their status each second; two of these frames may be lost.
CONFIRMATION_TIMEOUT_SECONDS = 3.5
# Delay before the next watch after a change, doubled while changes continue, so that
# changes in quick succession cost few calls per node. A single change is seen
# immediately, and peers report later ones meanwhile.
INITIAL_BATCH_DELAY_SECONDS = 0.25
MAX_BATCH_DELAY_SECONDS = {
    Kind.CONFIGURATION: 0.5,
    Kind.EVACUATIONS: 0.5,
    Kind.AGENTS: 1.0,
}
# A watch without a change for this long resets the delay.
QUIET_WATCH_SECONDS = 2.0


class ViewSync:
    """Keep a view up to date from the platform, or from peers if it is unavailable.

    Parameters
    ----------
    view : ObjectView
        Copy that is kept up to date.
    store : ObjectStore
        The platform.
    tasks : TaskGroup
        Runs the background tasks.
    clock : Clock
        Source of time.
    peer_port : int
        Port at which peers serve their view.
    list_peers : callable
        Returns IP addresses of nodes that may have newer objects, the most likely
        first.
    relayed : collection of Kind
        Kinds that are followed through peers that watch the platform, so that calls
        grow more slowly than the fleet. Without such a peer they are read from the
        platform.
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
        # Last status of a balancer or parent and its time of receipt, until this copy
        # matches it.
        self._pending_status: tuple[Probe | ViewStatus, float] | None = None
        self._watched_kinds: set[Kind] = set()
        self._agents_confirmed_at = float("-inf")
        self._agents_read_at: float | None = None
        self._retrying_kind: Kind | None = None
        self._platform_available = asyncio.Event()
        self._pulled_at = float("-inf")
        self._pulling = False
        # Called when a check has confirmed this copy.
        self.on_proved: Callable[[], None] = lambda: None
        self._check = PlatformCheck(
            view, store, clock, lambda: self.watches_directly, self._record_proof
        )

    @property
    def watches_directly(self) -> bool:
        """Tell whether this node itself watches all kinds at the platform."""
        return all(k in self._watched_kinds and not self._is_relayed(k) for k in KINDS)

    @property
    def connected(self) -> bool:
        """Tell whether each kind is watched at the platform or confirmed by peers."""
        return all(k in self._watched_kinds or self._is_relayed(k) for k in KINDS)

    def confirmation_age_ms(self, now: float) -> int | None:
        """Return the age of the last confirmation of this copy in milliseconds.

        A confirmation is an answer of the platform, or comes from a node that has one
        and the same objects; an open watch alone confirms nothing. Its age accumulates
        from node to node, so nodes that poll each other in a cycle cannot keep a
        confirmation fresh.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self.watches_directly:
            return int(1000 * (now - self._check.proved_at))
        if not self.connected:
            return None
        return int(1000 * (now - self._confirmed_at))

    def directory_trust(self, now: float) -> DirectoryTrust:
        """Return how reliable this copy of the directory of agents is.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        if self._agents_read_at is None:
            return DirectoryTrust(False, 0.0)
        is_current = now - self._agents_confirmed_at < CONFIRMATION_TIMEOUT_SECONDS
        return DirectoryTrust(is_current, now - self._agents_read_at)

    def start(self) -> None:
        """Start the background tasks."""
        for kind in KINDS:
            self._tasks.start(partial(self._follow, kind), f"follow_{kind}")
        self._tasks.start(self._poll_peers, "ask_peers")
        self._tasks.start(self._check.run, "check_platform")

    def handle_peer_status(self, host: str, status: Probe | ViewStatus) -> None:
        """Compare this copy with that of a balancer or parent; pull if it may be newer.

        A balancer routes new flows by its own copy, so its agents need the same one.

        Parameters
        ----------
        host : str
            IP address of the sender.
        status : Probe or ViewStatus
            Revisions and digests of its copy, and the age of its confirmation.
        """
        self._pending_status = (status, self._clock.monotonic())
        self._apply_pending_status()
        if self._view.needs_pull(status.newest, status.digests):
            self.pull_from(host)

    def handle_peer_revisions(self, host: str, newest: list[int]) -> None:
        """Pull from a peer that knows a later change than this copy has.

        Parameters
        ----------
        host : str
            IP address of the peer.
        newest : list of int
            Newest revision of each kind that it knows.
        """
        if self._view.is_behind(newest):
            self.pull_from(host)

    def pull_from(self, host: str) -> None:
        """Start a pull from a peer, unless one runs or has just ended."""
        now = self._clock.monotonic()
        if not self._pulling and now - self._pulled_at >= MIN_PULL_INTERVAL_SECONDS:
            self._tasks.spawn(self._pull(host))

    def _apply_pending_status(self) -> None:
        """Record the last status as a confirmation once this copy matches it."""
        if self._pending_status is None:
            return
        status, received_at = self._pending_status
        if not self._view.matches(status.newest, status.digests):
            return
        self._pending_status = None
        self._agents_confirmed_at = max(self._agents_confirmed_at, received_at)
        if status.confirmation_age_ms is not None:
            confirmed_at = received_at - status.confirmation_age_ms / 1000
            self._confirmed_at = max(self._confirmed_at, confirmed_at)

    async def _follow(self, kind: Kind) -> None:
        delay_seconds = INITIAL_BACKOFF_SECONDS
        outage_started_at: float | None = None
        is_listed = False
        batch_delay = INITIAL_BATCH_DELAY_SECONDS
        was_relayed = False
        self._watched_kinds.discard(kind)
        await self._wait_for_peer_copy(kind)
        while True:
            try:
                if self._is_relayed(kind):
                    if not was_relayed:
                        self._log_relay_change("platform_left_to_peers", kind)
                    was_relayed = True
                    outage_started_at = None
                    is_listed = kind in self._watched_kinds
                    await asyncio.sleep(RELAY_CHECK_PERIOD_SECONDS)
                    continue
                if was_relayed:
                    self._log_relay_change("platform_followed_again", kind)
                    # An idle connection may have gone silent meanwhile.
                    self._store.end_watch(kind)
                was_relayed = False
                if not is_listed:
                    revision, objects = await self._store.list_objects(kind)
                    self._view.replace(kind, revision, objects)
                    self._record_answer(kind)
                    self._end_outage(kind)
                    is_listed = True
                    self._watched_kinds.add(kind)
                    if outage_started_at is not None:
                        self._log_recovery(kind, outage_started_at)
                        outage_started_at = None
                    if await self._wait_for_relay(kind):
                        continue
                from_revision = self._view.snapshots[kind].at_revision
                watch_started_at = self._clock.monotonic()
                self._check.on_watch_started(kind)
                revision, changes = await self._store.watch_objects(kind, from_revision)
                self._view.apply(kind, revision, changes)
                self._record_answer(kind)
                delay_seconds = INITIAL_BACKOFF_SECONDS
                if self._clock.monotonic() - watch_started_at > QUIET_WATCH_SECONDS:
                    batch_delay = INITIAL_BATCH_DELAY_SECONDS
                if changes:
                    await asyncio.sleep(batch_delay)
                    batch_delay = min(2 * batch_delay, MAX_BATCH_DELAY_SECONDS[kind])
            except WatchExpired:
                self._check.on_watch_failed(kind)
                log_event("watch_expired", kind=kind, revision=from_revision)
                is_listed = False
            except PlatformError as error:
                self._check.on_watch_failed(kind)
                if outage_started_at is None:
                    outage_started_at = self._clock.monotonic()
                    self._watched_kinds.discard(kind)
                    log_warning("platform_lost", kind=kind, error=str(error))
                is_listed = False
                await self._wait_after_failure(kind, delay_seconds)
                delay_seconds = min(2 * delay_seconds, MAX_BACKOFF_SECONDS)

    async def _wait_after_failure(self, kind: Kind, delay_seconds: float) -> None:
        """Wait before the next call.

        One kind retries with backoff; the others wait until it succeeds.
        """
        if self._retrying_kind is None:
            self._retrying_kind = kind
            self._platform_available.clear()
        if self._retrying_kind is kind:
            await asyncio.sleep(delay_seconds * random.uniform(0.5, 1.0))
            return
        try:
            async with asyncio.timeout(MAX_OUTAGE_WAIT_SECONDS):
                await self._platform_available.wait()
        except TimeoutError:
            # The retrying kind may itself hang on an unresponsive connection.
            return

    def _end_outage(self, kind: Kind) -> None:
        if self._retrying_kind is kind:
            self._retrying_kind = None
            self._platform_available.set()

    def _record_proof(self) -> None:
        """Record that a check has found all kinds current."""
        proved_at = self._check.proved_at
        self._agents_confirmed_at = max(self._agents_confirmed_at, proved_at)
        self.on_proved()

    def _record_answer(self, kind: Kind) -> None:
        self._check.on_answer(kind)
        if kind is Kind.AGENTS:
            self._agents_confirmed_at = self._clock.monotonic()
            self._record_directory_read()

    def _record_directory_read(self) -> None:
        known = self._view.snapshots[Kind.AGENTS].known
        if known and self._agents_read_at is None:
            self._agents_read_at = self._clock.monotonic()

    def _is_relayed(self, kind: Kind) -> bool:
        """Tell whether peers lately confirmed a kind that is followed through them."""
        unconfirmed_seconds = self._clock.monotonic() - self._confirmed_at
        known = self._view.snapshots[kind].known
        return (
            known
            and kind in self._relayed
            and unconfirmed_seconds < RELAY_TIMEOUT_SECONDS
        )

    async def _wait_for_peer_copy(self, kind: Kind) -> None:
        """Wait for a copy and a confirmation from a peer, to save a list call."""
        if kind not in self._relayed:
            return
        started_at = self._clock.monotonic()
        while not self._is_relayed(kind):
            known = self._view.snapshots[kind].known
            timeout = (
                FIRST_CONFIRMATION_TIMEOUT_SECONDS
                if known
                else FIRST_COPY_TIMEOUT_SECONDS
            )
            if self._clock.monotonic() - started_at >= timeout:
                return
            await asyncio.sleep(START_CHECK_PERIOD_SECONDS)

    async def _wait_for_relay(self, kind: Kind) -> bool:
        """Wait after a list call for a confirmation; return whether one arrived."""
        if kind not in self._relayed:
            return False
        deadline = self._clock.monotonic() + RELAY_WAIT_SECONDS
        while not self._is_relayed(kind) and self._clock.monotonic() < deadline:
            await asyncio.sleep(RELAY_CHECK_PERIOD_SECONDS)
        return self._is_relayed(kind)

    def _log_relay_change(self, event: str, kind: Kind) -> None:
        age = self._clock.monotonic() - self._confirmed_at
        revision = self._view.snapshots[kind].at_revision
        log_event(event, kind=kind, confirmed_age=round(age, 3), revision=revision)

    def _log_recovery(self, kind: Kind, outage_started_at: float) -> None:
        outage_seconds = self._clock.monotonic() - outage_started_at
        snapshot = self._view.snapshots[kind]
        log_event(
            "platform_regained",
            kind=kind,
            away_seconds=round(outage_seconds, 3),
            revision=snapshot.at_revision,
            objects=len(snapshot.objects),
        )

    async def _poll_peers(self) -> None:
        peer_index = 0
        while True:
            if not self.connected:
                peers = self._list_peers()
                if peers:
                    await self._pull(peers[peer_index % len(peers)])
                    peer_index += 1
            await asyncio.sleep(PEER_PULL_PERIOD_SECONDS)

    async def _pull(self, host: str) -> None:
        self._pulling = True
        connection = HttpConnection((host, self._peer_port))
        previous_newest = self._view.newest
        try:
            answer = await connection.request(
                "GET", self._view.export_path(), seconds=PULL_TIMEOUT_SECONDS
            )
            if answer.status == 200:
                self._view.merge(answer.body)
                self._record_directory_read()
                self._apply_pending_status()
                if self._view.newest != previous_newest:
                    log_event("view_pulled", peer=host, newest=self._view.newest)
        except PlatformError as error:
            log_event("peer_not_reached", peer=host, error=str(error))
        finally:
            connection.close()
            self._pulling = False
            self._pulled_at = self._clock.monotonic()
