"""Table tests of input from the users' platform: documents, calls, settings."""

from __future__ import annotations

import json
import unittest

from nose2.tools import params

from berylturn.connection.recovery.backend_reports import BackendReport
from berylturn.errors import PlatformError
from berylturn.platform.documents import decode_configuration, decode_heartbeat
from berylturn.platform.http_handlers import (
    make_heartbeat_handler,
    make_readiness_handler,
)
from berylturn.process.http_server import HttpRequest
from berylturn.process.logs import LINES_PER_SECOND, RateLimitedLog
from berylturn.process.metrics import Metrics
from berylturn.process.settings import (
    choose_settings_model,
    read_sections,
    read_settings,
)

HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "dc-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 250,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTE = {"name": "r", "host": "198.18.0.1", "path_prefix": "/443/", "service": "desk"}
FLOW = bytes([100, 64, 0, 1, 4, 1, 198, 18, 0, 1]) + (443).to_bytes(2, "big")


class TestHeartbeats(unittest.TestCase):
    """An unreadable heartbeat is rejected and yields no report."""

    def test_all_fields(self) -> None:
        report = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
        expected = BackendReport(
            "i-1", 1700000000000, 4, "desk", "dc-a", "10.0.0.1:80", 3, False, 0.25
        )
        self.assertEqual(expected, report)

    @params(
        {"state": "asleep"},
        {"slots": "three"},
        {"slots": 0},
        {"born": None},
        {"sequence": 1.5},
        {"service": 7},
    )
    def test_wrong_field(self, change: dict) -> None:
        with self.assertRaises(PlatformError):
            decode_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())

    @params(
        ("PUT", "/-/instances/i-1", json.dumps(HEARTBEAT).encode(), 200),
        ("PUT", "/-/instances/i-1", b"{", 400),
        ("DELETE", "/-/instances/i-1", b"", 200),
        ("GET", "/other", b"", 404),
    )
    def test_calls(self, method: str, path: str, body: bytes, status: int) -> None:
        handle = make_heartbeat_handler(lambda report: True, lambda identifier: True)
        self.assertEqual(status, handle(HttpRequest(method, path, body)).status)

    @params((True, 200), (False, 503))
    def test_readiness(self, ready: bool, status: int) -> None:
        handle = make_readiness_handler(lambda: ready)
        request = HttpRequest("GET", "/-/readiness", b"")
        self.assertEqual(status, handle(request).status)


class TestConfiguration(unittest.TestCase):
    """An unusable route leaves the other routes in force."""

    @params(
        ("one service", ROUTE, "desk"),
        ("no service", {**ROUTE, "service": None}, None),
        ("weights", {**ROUTE, "weighted_services": [{"service": "room"}]}, "room"),
        ("no port", {**ROUTE, "path_prefix": "/x/"}, None),
        ("no address", {**ROUTE, "host": "desk.example"}, None),
    )
    def test_routes(self, _: str, route: dict, service: str | None) -> None:
        other_route = {**ROUTE, "name": "other", "host": "198.18.0.2"}
        body = {"version": 3, "routes": [route, other_route], "services": []}
        table, _problems = decode_configuration(json.dumps(body).encode())
        self.assertEqual(service, table.service_of(FLOW))
        self.assertEqual("desk", table.service_of(FLOW[:9] + b"\x02" + FLOW[10:]))

    @params(
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("", False),
        (None, False),
    )
    def test_repeatable_requests(self, kind: str | None, repeatable: bool) -> None:
        route = ROUTE if kind is None else {**ROUTE, "type": kind}
        body = {"version": 3, "routes": [route], "services": []}
        table, _problems = decode_configuration(json.dumps(body).encode())
        self.assertEqual(repeatable, table.route_of(FLOW).repeatable)

    @params(b"", b"[]", b'{"version":"x","routes":[],"services":[]}')
    def test_unreadable(self, body: bytes) -> None:
        with self.assertRaises(PlatformError):
            decode_configuration(body)


class TestSettings(unittest.TestCase):
    """The sample settings files have every required key."""

    @params("samples/passthrough-balancer.ini", "samples/passthrough-agent.ini")
    def test_samples(self, path: str) -> None:
        values = read_settings(path, choose_settings_model(read_sections(path)))
        self.assertEqual(7720, values.passthrough.peer_port)


class TestObservation(unittest.TestCase):
    """Log lines are rate-limited, and metrics are rendered as text."""

    def test_lines_are_rate_limited(self) -> None:
        log = RateLimitedLog()
        with self.assertLogsLines(LINES_PER_SECOND + 1) as lines:
            for _ in range(3 * LINES_PER_SECOND):
                log.write("busy")
            log.start_second()
        self.assertIn(f'"busy":{2 * LINES_PER_SECOND}', lines[-1])

    def test_text_page(self) -> None:
        metrics = Metrics(None, "n")
        metrics.count("flow_admitted")
        metrics.gauge("flows", 3)
        metrics.time("response", 0.03)
        page = metrics.render()
        for line in (
            "berylturn_flow_admitted_total 1",
            "berylturn_flows 3",
            'berylturn_response_seconds_bucket{le="0.025"} 0',
            'berylturn_response_seconds_bucket{le="0.05"} 1',
            "berylturn_response_seconds_count 1",
        ):
            self.assertIn(line + "\n", page)

    def assertLogsLines(self, count: int):  # noqa: N802
        """Return a context that collects log lines and checks their number."""
        return _LineCollector(self, count)


class _LineCollector:
    def __init__(self, test: unittest.TestCase, count: int) -> None:
        self._test = test
        self._count = count
        self._lines: list[str] = []

    def __enter__(self) -> list[str]:
        from berylturn.process import logs

        self._writers = logs._writers[:]
        logs._writers[:] = [self]
        return self._lines

    def __exit__(self, *_: object) -> None:
        from berylturn.process import logs

        logs._writers[:] = self._writers
        self._test.assertEqual(self._count, len(self._lines))

    def add(self, level: str, event: str, fields: dict) -> None:
        """Collect one line."""
        line = {"event": event, **fields}
        self._lines.append(json.dumps(line, separators=(",", ":")))
