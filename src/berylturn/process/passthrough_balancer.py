"""Balancer daemon for passthrough flows; it runs on an entry host."""

from __future__ import annotations

import asyncio
import random

from ..connection.admission.second_offers import SecondOfferLimits, SecondOffers
from ..connection.passthrough_router import PassthroughRouter
from ..connection.peer_frames import Load, Owned, PeerFrame, Probe, Refused
from ..connection.placement.load_board import LoadBoard
from ..connection.segments import Segment
from ..errors import PacketError
from ..version.agent_directory import AgentDirectory, Directory
from .agent_entries import remove_stale_entry
from .http_server import Handler
from .logs import log_event
from .object_view import Kind
from .passthrough_node import PassthroughNode
from .sockets import Address

# A probe also confirms that a balancer's copy of the platform's objects is current. An
# agent that gets one each second need not watch the platform itself.
PROBE_SECONDS = 1.0
# Age at which a balancer requests a new load report; agents in other data centres send
# one each second.
MAX_REPORT_AGE_SECONDS = 1.6
# Shortest time between two checks for overdue answers.
OFFER_CHECK_SECONDS = 0.01
# Interval at which a stopping balancer checks whether packets still arrive.
QUIET_CHECK_SECONDS = 0.25
# Silence after which an agent's directory entry is removed. New flows avoid the agent
# long before, and a partition between data centres lasts only seconds.
STALE_ENTRY_SECONDS = 30.0
# Silence after which a stopping balancer ends. Routers take a node out after two failed
# probes, which takes a second, and packets already on their way arrive after that.
QUIET_SECONDS = 1.5
# The last part of the stop grace, kept free for closing the process.
STOP_MARGIN_SECONDS = 1.0


class PassthroughBalancer:
    """Connect the passthrough logic of a balancer to its sockets and timers.

    Parameters
    ----------
    node : PassthroughNode
        Sockets, copy of the platform's objects, and logs.
    """

    def __init__(self, node: PassthroughNode) -> None:
        self._node = node
        self._board = LoadBoard()
        self._second_offers = SecondOffers(_build_offer_limits(node), node.log_decision)
        self._offer_timer: asyncio.TimerHandle | None = None
        self._router = PassthroughRouter(
            node.host,
            node.settings.node.data_centre,
            self._board,
            node.codec,
            node.log_decision,
            node.settings.placement.policy == "mixed",
            self._second_offers,
        )
        self._directory = AgentDirectory(self._board.has_left)
        self._stopping = False
        self._was_ready = False
        self._last_packet_at = node.now()

    def is_ready(self) -> bool:
        """Tell whether routers may send packets to this balancer; log each change."""
        ready = self._router.ready and not self._stopping
        if ready != self._was_ready:
            self._was_ready = ready
            log_event("readiness", ready=ready, newest=self._node.view.newest)
        return ready

    async def run(self, heartbeats: Handler, readiness: Handler) -> None:
        """Serve until SIGTERM, then until no more packets arrive."""
        node = self._node
        node.list_known_peers = self._list_recent_agents
        node.describe = self._describe_state
        node.link.follow_board(self._board)
        await node.open_caller_socket(self._on_caller_packet)
        node.explain = lambda flow: self._router.explain(flow, node.now())
        node.on_settings_reloaded = lambda: self._second_offers.set_limits(
            _build_offer_limits(node)
        )
        await node.open(
            self._on_frame,
            self._on_objects_changed,
            heartbeats,
            readiness,
        )
        node.tasks.start(self._run_probes, "probe")
        await node.tasks.stop_requested.wait()
        self._stopping = True
        log_event("stopping", hints=self._router.hints)
        await self._wait_until_quiet()
        await node.close()

    async def _wait_until_quiet(self) -> None:
        node = self._node
        grace = node.settings.passthrough.grace.total_seconds() - STOP_MARGIN_SECONDS
        deadline = node.now() + grace
        self._last_packet_at = node.now()
        while node.now() < min(deadline, self._last_packet_at + QUIET_SECONDS):
            await asyncio.sleep(QUIET_CHECK_SECONDS)

    def _on_caller_packet(self, data: bytes, address: Address) -> None:
        node = self._node
        try:
            segment: Segment = node.codec.decode_from_caller(data)
        except PacketError as error:
            node.record_drop("packet", error)
            return
        now = node.now()
        self._last_packet_at = now
        node.send_effects(self._router.on_caller(segment, now))
        if segment.opening and self._offer_timer is None:
            self._schedule_offers(now)

    def _on_frame(self, host: str, frame: PeerFrame) -> None:
        if isinstance(frame, Owned | Load | Refused):
            effects = self._router.on_frame(host, frame, self._node.now())
            self._node.send_effects(effects)
            self._node.sync.handle_peer_revisions(host, frame.load.newest)

    def _schedule_offers(self, now: float) -> None:
        seconds = self._second_offers.seconds_until_due(now)
        if seconds is not None and not self._stopping:
            self._offer_timer = asyncio.get_running_loop().call_later(
                max(seconds, OFFER_CHECK_SECONDS), self._offer_overdue
            )

    def _offer_overdue(self) -> None:
        self._offer_timer = None
        now = self._node.now()
        self._node.send_effects(self._router.offer_overdue(now))
        self._schedule_offers(now)

    def _on_objects_changed(self, kind: Kind) -> None:
        node = self._node
        if kind is Kind.CONFIGURATION and node.table.version:
            self._router.set_table(node.table)
        has_directory = node.view.snapshots[Kind.AGENTS].known
        if kind is not Kind.CONFIGURATION and has_directory:
            entries = node.read_agent_entries()
            self._apply_directory(self._directory.replace(entries, node.now()))
        node.send_effects(self._router.release_buffered(node.now()))

    def _apply_directory(self, directory: Directory) -> None:
        self._router.set_directory(directory, self._node.evacuated)
        if self._directory.lapsed:
            log_event("entries_lapsed", names=self._directory.lapsed)

    def _describe_state(self) -> dict[str, object]:
        now = self._node.now()
        return {
            "role": "balancer",
            "ready": self._was_ready,
            "stopping": self._stopping,
            "hints": self._router.hints,
            "load": self._board.describe(now),
        }

    def _list_recent_agents(self) -> list[str]:
        return self._router.recently_used_agents(self._node.now())

    async def _run_probes(self) -> None:
        node = self._node
        data_centre = node.settings.node.data_centre
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            now = node.now()
            directory = self._directory.expire(now)
            if directory is not None:
                self._apply_directory(directory)
            newest, digests = node.view.newest, node.view.digests
            age_ms = node.sync.confirmation_age_ms(now)
            for host in self._router.recently_used_agents(now):
                age = self._board.report_age(host, now)
                needs_report = age is None or age > MAX_REPORT_AGE_SECONDS
                if needs_report:
                    self._board.expect_answer(host, now)
                node.send(
                    host, Probe(data_centre, newest, digests, age_ms, needs_report)
                )
            for name, silent_seconds in self._router.find_unresponsive_agents(
                STALE_ENTRY_SECONDS, now
            ):
                node.tasks.spawn(self._remove_stale_entry(name, silent_seconds))
            node.metrics.gauge("flow_hints", self._router.hints)

    async def _remove_stale_entry(self, name: str, silent_seconds: float) -> None:
        # The random delay lets one balancer remove the entry before the others try.
        await asyncio.sleep(random.uniform(0.0, PROBE_SECONDS))
        if self._node.sync.connected:
            await remove_stale_entry(
                self._node.store, self._node.view, name, silent_seconds
            )


def _build_offer_limits(node: PassthroughNode) -> SecondOfferLimits:
    section = node.settings.second_offers
    return SecondOfferLimits(section.share, section.delay.total_seconds())
