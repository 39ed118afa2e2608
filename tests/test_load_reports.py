"""Which peers an agent sends its load to."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from nose2.tools import params

from berylturn.clock import SystemClock
from berylturn.connection.peer_frames import LoadReport
from berylturn.process.passthrough_agent import PassthroughAgentDaemon
from berylturn.version.owners import AgentEntry

NEAR, FAR = {"near-agent", "near-balancer"}, {"far-agent", "far-balancer"}


def make_daemon(load: LoadReport) -> tuple[PassthroughAgentDaemon, set[str]]:
    """Return a daemon with a peer of each kind, and the hosts that it sends to."""
    sent: set[str] = set()
    node = Mock()
    node.settings.node.data_centre = "dc-a"
    node.now.return_value = 10.0
    node.started = 0.0
    node.clock = SystemClock()
    node.send = lambda host, frame: sent.add(host)
    daemon = PassthroughAgentDaemon(node)
    daemon._agent = Mock()
    daemon._agent.load_report.return_value = load
    daemon._siblings = [
        AgentEntry("n", "near-agent", "dc-a", "desk"),
        AgentEntry("f", "far-agent", "dc-b", "desk"),
    ]
    daemon._record_balancer("near-balancer", "dc-a", 10.0)
    daemon._record_balancer("far-balancer", "dc-b", 10.0)
    return daemon, sent


class TestReceivers(unittest.TestCase):
    """Load stays in the data centre; a change of state reaches all peers."""

    @params(
        ("first report", None, 1, NEAR | FAR),
        ("no change", (True, False), 1, NEAR),
        ("no change, every second report", (True, False), 2, NEAR | {"far-agent"}),
        ("the cold start has ended by time", (True, True), 1, NEAR | FAR),
        ("the server has become silent", (False, False), 1, NEAR | FAR),
    )
    def test_periodic(
        self, _: str, last: tuple[bool, bool] | None, number: int, receivers: set[str]
    ) -> None:
        daemon, sent = make_daemon(LoadReport(True, 0.0, 0, 1, 0, []))
        daemon._last_sent_state = last
        daemon._send_periodic_load(number)
        self.assertEqual(receivers, sent)
        sent.clear()
        daemon._send_periodic_load(1)
        self.assertEqual(NEAR, sent)
