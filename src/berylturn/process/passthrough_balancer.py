"""Daemon on an entry host that carries flows without a token."""

from __future__ import annotations

import asyncio
import random

from ..connection.load_board import LoadBoard
from ..connection.passthrough_router import PassthroughRouter
from ..connection.peer_frames import Load, Owned, PeerFrame, Probe
from ..connection.segments import Segment
from ..errors import PacketError
from ..version.agent_directory import AgentDirectory, Directory
from .agent_entries import remove_dead_entry
from .http_server import Handler
from .logs import log_event
from .object_view import Kind
from .passthrough_node import PassthroughNode
from .sockets import Address

# Agents follow balancers that confirm what they know once a second.
PROBE_SECONDS = 1.0
# A report that is older is asked for; far agents report once a second.
REPORT_AGE_SECONDS = 1.6
# A stopping balancer looks for packets this often.
QUIET_CHECK_SECONDS = 0.25
# Silence after which an agent's entry is removed. Openings avoid it long before; a cut
# of a data centre lasts seconds.
DEAD_SECONDS = 30.0
# Routers notice that a node is not ready after two probes, a second; packets that are
# under way then still arrive.
QUIET_SECONDS = 1.5
STOP_MARGIN_SECONDS = 1.0


class PassthroughBalancer:
    """Wire the rules of a balancer to its sockets.

    Parameters
    ----------
    node : PassthroughNode
        Sockets, view and logs.
    """

    def __init__(self, node: PassthroughNode) -> None:
        self._node = node
        self._board = LoadBoard()
        self._rules = PassthroughRouter(
            node.host,
            node.settings.node.data_centre,
            self._board,
            node.codec,
            node.decide,
        )
        self._directory = AgentDirectory(self._board.has_left)
        self._stopping = False
        self._was_ready = False
        self._last_packet = node.now()

    def is_ready(self) -> bool:
        """Tell the routers whether to send packets here."""
        ready = self._rules.ready and not self._stopping
        if ready != self._was_ready:
            self._was_ready = ready
            log_event("readiness", ready=ready, newest=self._node.view.newest)
        return ready

    async def run(self, heartbeats: Handler, readiness: Handler) -> None:
        """Serve until SIGTERM, then until packets go elsewhere."""
        node = self._node
        node.known_peers = self._directory_hosts
        node.describe = self._describe
        await node.open(
            self._on_caller, self._on_frame, self._on_change, heartbeats, readiness
        )
        node.tasks.start(self._probe(), "probe")
        await node.tasks.stop.wait()
        self._stopping = True
        log_event("stopping", hints=self._rules.hints)
        await self._wait_until_quiet()
        await node.close()

    async def _wait_until_quiet(self) -> None:
        node = self._node
        grace = node.settings.passthrough.grace.total_seconds() - STOP_MARGIN_SECONDS
        stop_at = node.now() + grace
        self._last_packet = node.now()
        while node.now() < min(stop_at, self._last_packet + QUIET_SECONDS):
            await asyncio.sleep(QUIET_CHECK_SECONDS)

    def _on_caller(self, data: bytes, address: Address) -> None:
        node = self._node
        try:
            segment: Segment = node.codec.decode_from_caller(data)
        except PacketError as error:
            node.drop("packet", error)
            return
        now = node.now()
        self._last_packet = now
        node.carry_out(self._rules.on_caller(segment, now))

    def _on_frame(self, host: str, frame: PeerFrame) -> None:
        if isinstance(frame, Owned | Load):
            self._rules.on_frame(host, frame, self._node.now())
            self._node.sync.note_peer(host, frame.load.newest)

    def _on_change(self, kind: Kind) -> None:
        node = self._node
        if kind is Kind.CONFIGURATION and node.table.version:
            self._rules.set_table(node.table)
        known = node.view.snapshots[Kind.AGENTS].known
        if kind is not Kind.CONFIGURATION and known:
            entries = node.read_agents()
            self._set_directory(self._directory.replace(entries, node.now()))
        node.carry_out(self._rules.release_buffered(node.now()))

    def _set_directory(self, directory: Directory) -> None:
        self._rules.set_directory(directory, self._node.out)
        if self._directory.lapsed:
            log_event("entries_lapsed", names=self._directory.lapsed)

    def _describe(self) -> dict[str, object]:
        now = self._node.now()
        return {
            "role": "balancer",
            "ready": self._was_ready,
            "stopping": self._stopping,
            "hints": self._rules.hints,
            "load": self._board.describe(now),
        }

    def _directory_hosts(self) -> list[str]:
        return self._rules.recently_used_agents(self._node.now())

    async def _probe(self) -> None:
        node = self._node
        centre = node.settings.node.data_centre
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            now = node.now()
            directory = self._directory.expire(now)
            if directory is not None:
                self._set_directory(directory)
            newest, digests = node.view.newest, node.view.digests
            age_ms = node.sync.word_age_ms(now)
            for host in self._rules.recently_used_agents(now):
                age = self._board.report_age(host, now)
                ask = age is None or age > REPORT_AGE_SECONDS
                if ask:
                    self._board.expect_answer(host, now)
                node.send(host, Probe(centre, newest, digests, age_ms, ask))
            for name, silent in self._rules.dead_agents(DEAD_SECONDS, now):
                node.tasks.spawn(self._remove(name, silent))
            node.metrics.gauge("flow_hints", self._rules.hints)

    async def _remove(self, name: str, silent: float) -> None:
        # One balancer of many is first; the others find the entry gone.
        await asyncio.sleep(random.uniform(0.0, PROBE_SECONDS))
        if self._node.sync.connected:
            await remove_dead_entry(self._node.store, self._node.view, name, silent)
