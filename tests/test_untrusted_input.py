"""Input that another writer left or malformed: typed errors, and nodes that go on."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
import zlib
from collections.abc import Callable

import msgspec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from berylturn.connection.keys import KeyRing, parse_key
from berylturn.connection.packets import decode_from_caller, decode_to_caller
from berylturn.connection.peer_frames import Load, LoadReport, decode_frame
from berylturn.connection.snapshot import read_snapshot
from berylturn.connection.token import verify_token
from berylturn.decoding import replace_deep_values
from berylturn.errors import (
    BerylturnError,
    PacketError,
    PlatformError,
    PlatformUnavailable,
)
from berylturn.platform.documents import decode_configuration, decode_heartbeat
from berylturn.platform.objects import decode_events, decode_listing
from berylturn.process.agent_entries import EntryReader
from berylturn.process.http_client import HttpConnection
from berylturn.process.object_view import Kind, ObjectView
from berylturn.process.tasks import RESTART_SECONDS, TaskGroup
from berylturn.version.selectors import parse_labels, parse_selector
from berylturn.version.snapshots import KindSnapshot, StoredObject

from .test_platform_border import HEARTBEAT, ROUTE

DEEP = b"[" * 200_000 + b"]" * 200_000
HUGE = int("9" * 300)
KEYS = KeyRing(parse_key("1:" + "aa" * 16))
ENTRY = {
    "name": "side-1",
    "host": "10.0.0.1",
    "data_centre": "dc-a",
    "service": "desk",
    "weight": 3.0,
}


def encode_with(document: dict, field: str, raw: bytes) -> bytes:
    """Return a JSON document with one field replaced by raw JSON text."""
    return msgspec.json.encode({**document, field: msgspec.Raw(raw)})


def encode_item(name: str, spec: bytes) -> bytes:
    """Return one object of the platform's API as JSON text."""
    return b'{"meta":{"name":"%s","revision":3},"spec":%s}' % (name.encode(), spec)


def read_entry(body: bytes) -> list:
    """Return the entries that are read from a directory with one object."""
    snapshot = KindSnapshot()
    snapshot.replace(3, [StoredObject("side-1", 3, body)])
    return EntryReader().read(snapshot)


class TestOddHeartbeats(unittest.TestCase):
    """A heartbeat beyond what the protocol allows names no backend server."""

    @params(
        ("sequence", b"%d" % HUGE),
        ("sequence", b"-1"),
        ("born", b"%d" % HUGE),
        ("born", b"1e400"),
        ("born", b"-%d" % HUGE),
        ("slots", b"%d" % HUGE),
        ("slots", b"2000000"),
        ("cold_remaining_ms", b"%d" % HUGE),
        ("cold_remaining_ms", b"1e300"),
        ("cold_remaining_ms", b"-1"),
        ("address", b'"10.0.0.1:99999"'),
        ("address", b'"10.0.0.1:x"'),
        ("address", b'"10.0.0.1:0"'),
        ("address", b'"10.0.0.1"'),
        ("address", b'"10.0.0.1.2:80"'),
        ("address", b'"desk.example:80"'),
        ("service", b'""'),
        ("slots", DEEP),
        ("extra", DEEP),
        ("service", b'"\xff\xfe"'),
    )
    def test_field(self, field: str, raw: bytes) -> None:
        body = encode_with(HEARTBEAT, field, raw)
        with self.assertRaises(PlatformError):
            decode_heartbeat("i-1", body)


class TestOddObjects(unittest.TestCase):
    """One odd object among the others hides none of them."""

    @params(
        ("deep spec", encode_item("odd", DEEP), ["a", "odd", "b"]),
        ("huge number", encode_item("odd", b"%d" % HUGE), ["a", "odd", "b"]),
        ("no meta", b'{"spec":1}', ["a", "b"]),
        ("not an object", b"7", ["a", "b"]),
        ("huge revision", b'{"meta":{"name":"c","revision":1e400}}', ["a", "b"]),
        ("deep meta", b'{"meta":' + DEEP + b"}", ["a", "b"]),
        ("text that looks nested", encode_item("odd", b'"[[{\\"["'), ["a", "odd", "b"]),
    )
    def test_listing_and_events(self, _: str, odd: bytes, names: list[str]) -> None:
        items = [encode_item("a", b"1"), odd, encode_item("b", b'{"x":[2]}')]
        body = b'{"items":[' + b",".join(items) + b'],"at_revision":9}'
        page = decode_listing(body)
        self.assertEqual(names, [item.name for item in page.objects])
        self.assertEqual(b'{"x":[2]}', page.objects[-1].body)
        events = b",".join(b'{"object":' + i + b',"removed":false}' for i in items)
        revision, changes = decode_events(
            b'{"events":[' + events + b'],"at_revision":9}'
        )
        self.assertEqual(9, revision)
        self.assertEqual(names, [change.object.name for change in changes])

    def test_next_page_starts_after_an_unreadable_last_item(self) -> None:
        body = b'{"items":[%s,%s],"at_revision":9,"more":true}'
        last = b'{"meta":{"name":"z","revision":"x"},"spec":1}'
        page = decode_listing(body % (encode_item("a", b"1"), last))
        self.assertEqual("z", page.last)

    @params(b"", b"[]", DEEP, b'{"items":7,"at_revision":1}', b'{"items":[')
    def test_unreadable_reply(self, body: bytes) -> None:
        with self.assertRaises(PlatformError):
            decode_listing(body)
        with self.assertRaises(PlatformError):
            decode_events(body)

    @params(
        ("weight", b"0"),
        ("weight", b"-3"),
        ("weight", b"1e-320"),
        ("weight", b"1e400"),
        ("weight", b"1e300"),
        ("weight", b"NaN"),
        ("weight", DEEP),
        ("host", b'"side-1.example"'),
        ("host", b'"10.0.0.1:80"'),
        ("host", b'"10.0.0.300"'),
        ("host", b'"0.0.0.0"'),
        ("host", b'"255.255.255.255"'),
        ("host", b'"224.0.0.1"'),
        ("name", b'"other"'),
        ("service", b"7"),
        ("extra", DEEP),
    )
    def test_entry_of_an_agent(self, field: str, raw: bytes) -> None:
        good = read_entry(msgspec.json.encode(ENTRY))
        self.assertEqual("10.0.0.1", good[0].host)
        self.assertEqual([], read_entry(encode_with(ENTRY, field, raw)))

    @params(
        ("path_prefix", b'"/99999/"'),
        ("path_prefix", b'"/0/"'),
        ("path_prefix", b'"/-1/"'),
        ("host", b'"198.18.0.1.1"'),
        ("priority", b"%d" % HUGE),
        ("weighted_services", b'[{"service":"a","weight":1e400}]'),
        ("weighted_services", b'[{"service":"a","weight":1e308}]'),
        ("priority", DEEP),
    )
    def test_route(self, field: str, raw: bytes) -> None:
        other = msgspec.json.encode({**ROUTE, "name": "other", "host": "198.18.0.2"})
        body = b'{"version":3,"routes":[%s,%s],"services":[]}'
        table, problems = decode_configuration(
            body % (encode_with(ROUTE, field, raw), other)
        )
        self.assertEqual(["other"], [route.name for route in table.routes.values()])
        self.assertEqual(1, len(problems))


def prune(value: object, depth: int) -> object:
    """Return a JSON value with null in place of what is nested below a depth."""
    if not isinstance(value, list | dict):
        return value
    if depth == 0:
        return None
    if isinstance(value, list):
        return [prune(item, depth - 1) for item in value]
    return {key: prune(item, depth - 1) for key, item in value.items()}


class TestPruning(unittest.TestCase):
    """Values below a depth are replaced, whatever brackets the strings contain."""

    def test_equals_recursive_pruning(self) -> None:
        texts = st.text('[]{}"\\a', max_size=4)
        values = st.recursive(
            texts | st.integers() | st.none(),
            lambda item: st.lists(item, max_size=3) | st.dictionaries(texts, item),
            max_leaves=12,
        )

        @settings(derandomize=True, deadline=None, max_examples=300)
        @given(values, st.integers(1, 4))
        def check(value: object, depth: int) -> None:
            data = json.dumps(value).encode()
            pruned = json.loads(replace_deep_values(data, depth, b"null"))
            self.assertEqual(prune(value, depth), pruned)

        check()


class TestOddFrames(unittest.TestCase):
    """Every decoder of datagrams and documents fails with a typed error only."""

    DECODERS: dict[str, Callable[[bytes], object]] = {
        "frame": decode_frame,
        "from caller": decode_from_caller,
        "to caller": decode_to_caller,
        "snapshot": read_snapshot,
        "token": lambda data: verify_token(KEYS.sign(data) + data, KEYS),
        "view": lambda data: ObjectView(lambda kind: None).merge(data),
        "configuration": decode_configuration,
        "heartbeat": lambda data: decode_heartbeat("i", data),
        "listing": decode_listing,
        "events": decode_events,
        "selector": parse_selector,
        "labels": lambda data: parse_labels(data, ("in", "out")),
    }
    ODD = (b"\x91" * 200_000 + b"\x90", DEEP, b"\x95\x04" + b"\x91" * 200_000, b"\xc1")

    @params(*DECODERS)
    def test_deep_nesting(self, name: str) -> None:
        for data in self.ODD:
            with self.assertRaises(BerylturnError, msg=f"{name}: {data[:20]!r}"):
                self.DECODERS[name](data)

    @params(*DECODERS)
    def test_any_bytes(self, name: str) -> None:
        decode = self.DECODERS[name]

        @settings(
            derandomize=True,
            deadline=None,
            max_examples=200,
            suppress_health_check=list(HealthCheck),
        )
        @given(st.binary(max_size=200) | st.from_regex(rb"\A[\[{\"a:0,\]}]*\Z"))
        def check(data: bytes) -> None:
            try:
                decode(data)
            except BerylturnError:
                return

        check()

    def test_heartbeats_with_any_fields(self) -> None:
        values = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
        values |= st.lists(st.integers(), max_size=2)

        @settings(derandomize=True, deadline=None, max_examples=300)
        @given(st.dictionaries(st.sampled_from(sorted(HEARTBEAT)), values, max_size=3))
        def check(change: dict) -> None:
            try:
                report = decode_heartbeat("i", json.dumps(HEARTBEAT | change).encode())
            except PlatformError:
                return
            self.assertTrue(1 <= report.slots <= 10_000)
            self.assertTrue(0 <= report.cold_seconds <= 3600)
            self.assertTrue(0 <= report.sequence < 2**53)

        check()

    @params(
        ("truncated", lambda data: data[:-5]),
        ("damaged", lambda data: data[:20] + b"\0\0\0" + data[23:]),
        ("too large", lambda data: zlib.compress(bytes(70_000_000), 1)),
    )
    def test_damaged_copy(self, _: str, damage: Callable[[bytes], bytes]) -> None:
        full, peer = ObjectView(lambda kind: None), ObjectView(lambda kind: None)
        objects = [StoredObject(f"n{i}", i + 1, b"%d" % i) for i in range(200)]
        full.replace(Kind.AGENTS, 300, objects)
        with self.assertRaises(PlatformError):
            peer.merge(damage(full.export("/view")))
        self.assertFalse(peer.snapshots[Kind.AGENTS].known)

    def test_load_report_out_of_range(self) -> None:
        report = LoadReport(True, float("nan"), 0, 1, 0, [])
        data = msgspec.msgpack.encode([4, report])
        with self.assertRaises(PacketError):
            decode_frame(data)
        self.assertEqual(
            Load,
            type(
                decode_frame(
                    msgspec.msgpack.encode([4, LoadReport(True, 0.5, 0, 1, 0, [])])
                )
            ),
        )


class TestLateCopies(unittest.TestCase):
    """A second copy of a response is never taken for that of the next request."""

    @params(("with the first", 0.0), ("between two requests", 0.02))
    def test_second_copy(self, _: str, delay: float) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while head := await reader.readuntil(b"\r\n\r\n"):
                    body = head.split()[1]
                    answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                    writer.write(answer % (len(body), body))
                    await asyncio.sleep(delay)
                    writer.write(answer % (len(body), body))
            writer.close()

        async def play() -> list[bytes]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = HttpConnection(server.sockets[0].getsockname())
            bodies = []
            for path in ("/1", "/2", "/3"):
                response = await connection.request("GET", path, seconds=2.0)
                bodies.append(response.body)
                await asyncio.sleep(3 * delay)
            connection.close()
            server.close()
            await asyncio.sleep(0.05)
            return bodies

        self.assertEqual([b"/1", b"/2", b"/3"], asyncio.run(play()))

    def test_response_that_breaks_off_is_no_success(self) -> None:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            writer.close()

        async def play() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            connection = HttpConnection(server.sockets[0].getsockname())
            with self.assertRaises(PlatformUnavailable):
                await connection.request("GET", "/", seconds=2.0)
            server.close()

        asyncio.run(play())


class TestTasks(unittest.TestCase):
    """A long-running task that fails unexpectedly is started again."""

    def test_failed_task_goes_on(self) -> None:
        async def play() -> tuple[int, bool, int]:
            tasks = TaskGroup()
            starts = 0
            running = asyncio.Event()

            async def work() -> None:
                nonlocal starts
                starts += 1
                if starts == 1:
                    raise RecursionError("thrown in")
                running.set()
                await asyncio.sleep(60)

            tasks.start(work, "work")
            async with asyncio.timeout(5 * RESTART_SECONDS):
                await running.wait()
            stopped = tasks.stop_requested.is_set()
            await tasks.cancel_all()
            return starts, stopped, tasks.failures

        self.assertEqual((2, False, 1), asyncio.run(play()))
