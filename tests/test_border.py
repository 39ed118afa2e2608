"""Table tests of external input: packets, tokens, keys, settings, labels."""

from __future__ import annotations

import json
import tempfile
import unittest
from datetime import timedelta

import msgspec
from nose2.tools import params

from berylturn.connection.frames import Probe, sign_frame, verify_frame
from berylturn.connection.keys import KeyRing, parse_key
from berylturn.connection.packets import (
    Open,
    Ping,
    decode_from_caller,
    decode_to_caller,
    encode_packet,
)
from berylturn.connection.parts import Assembly, split_body
from berylturn.connection.token import RouteToken, issue_token, verify_token
from berylturn.errors import (
    AuthenticationError,
    PacketError,
    SelectorError,
    SettingsError,
)
from berylturn.process.settings import (
    AgentSettings,
    BalancerSettings,
    explain_settings,
    parse_duration,
    read_settings,
)
from berylturn.version.selectors import SERVER_STATES, parse_labels, parse_selector

OLD_KEY = parse_key("1:" + "aa" * 16)
NEW_KEY = parse_key("2:" + "bb" * 16)
FLOW = bytes(16)
TOKEN = RouteToken("127.0.0.1", 9, 4, "patan-hall", "booking", FLOW)


class TestPackets(unittest.TestCase):
    """Packets from callers and replies to them."""

    @params(
        (b"", "malformed"),
        (b"\xff\x00garbage", "malformed"),
        (bytes(1201), "send at most 1200"),
        (msgspec.msgpack.encode([99, 1]), "malformed"),
        (msgspec.msgpack.encode([1, b"short", "booking", 0]), "16 bytes"),
        (b"\x91" * 1100, "malformed"),
    )
    def test_bad_datagrams_name_the_remedy(self, data, remedy):
        with self.assertRaisesRegex(PacketError, remedy):
            decode_from_caller(data)

    def test_malformed_replies_are_rejected(self):
        with self.assertRaises(PacketError):
            decode_to_caller(b"\x00")

    @params(Open(FLOW, "booking", 3), Ping(b"t", 1, 2))
    def test_packets_decode_to_what_was_encoded(self, packet):
        self.assertEqual(decode_from_caller(encode_packet(packet)), packet)

    def test_too_large_packets_are_rejected(self):
        with self.assertRaisesRegex(PacketError, "split bodies"):
            encode_packet(Open(FLOW, "x" * 1300))

    @params(0, 1, 899, 900, 901, 20_000)
    def test_bodies_are_reassembled_in_any_order(self, size):
        body = bytes(i % 251 for i in range(size))
        parts = split_body(body)
        assembly = Assembly(len(parts))
        for index in reversed(range(len(parts))):
            self.assertEqual(assembly.missing_parts(1)[0], 0)
            self.assertTrue(assembly.add(index, parts[index]))
            self.assertFalse(assembly.add(index, b"other"))
        self.assertTrue(assembly.complete)
        self.assertEqual(assembly.body(), body)


class TestTokens(unittest.TestCase):
    """Route tokens and frames: signatures and key rotation."""

    @params(
        (KeyRing(OLD_KEY), KeyRing(OLD_KEY), True),
        (KeyRing(OLD_KEY), KeyRing(NEW_KEY, OLD_KEY), True),
        (KeyRing(NEW_KEY, OLD_KEY), KeyRing(OLD_KEY, NEW_KEY), True),
        (KeyRing(NEW_KEY), KeyRing(OLD_KEY), False),
        (KeyRing(parse_key("1:" + "cc" * 16)), KeyRing(OLD_KEY), False),
    )
    def test_rotation(self, signer, verifier, accepted):
        token = issue_token(TOKEN, signer)
        frame = sign_frame(Probe(7), signer)
        if accepted:
            self.assertEqual(verify_token(token, verifier), TOKEN)
            self.assertEqual(verify_frame(frame, verifier), Probe(7))
            return
        with self.assertRaises(AuthenticationError):
            verify_token(token, verifier)
        with self.assertRaises(AuthenticationError):
            verify_frame(frame, verifier)

    def test_every_changed_byte_is_detected(self):
        data = issue_token(TOKEN, KeyRing(OLD_KEY))
        for index in range(len(data)):
            forged = bytearray(data)
            forged[index] ^= 1
            with self.assertRaises(AuthenticationError):
                verify_token(bytes(forged), KeyRing(OLD_KEY))

    @params("", "x", "1:zz", "300:" + "00" * 16, "1:00", "1:" + "00" * 65)
    def test_bad_keys_name_the_remedy(self, text):
        with self.assertRaisesRegex(SettingsError, "use|write"):
            parse_key(text)


class TestSelectors(unittest.TestCase):
    """Stored selectors and labels."""

    VALID = {"service": "booking", "address": "127.0.0.1:9", "match": "app=booking"}

    @params(
        ({"shares": {"a": 60, "b": 30}}, "add up to 90"),
        ({"shares": {"a": 120, "b": -20}}, "negative"),
        ({"address": "here"}, "IP:PORT"),
        ({"service": "a b"}, "letters"),
        ({"match": "=x"}, "1 to 63"),
        ({"speed": 3}, "malformed"),
    )
    def test_bad_selectors_name_the_remedy(self, change, remedy):
        body = json.dumps({**self.VALID, **change}).encode()
        with self.assertRaisesRegex(SelectorError, remedy):
            parse_selector(body)

    @params(
        ("app=booking", {"app": "booking"}, True),
        ("app=booking", {"app": "media"}, False),
        ("app=booking,tier!=old", {"app": "booking"}, True),
        ("app=booking,tier!=old", {"app": "booking", "tier": "old"}, False),
        ("rack", {"rack": "1"}, True),
        ("rack", {}, False),
    )
    def test_expressions(self, match, labels, expected):
        body = json.dumps({**self.VALID, "match": match}).encode()
        self.assertEqual(parse_selector(body).matches(labels), expected)

    @params(
        ({"slots": "many"}, "not a number"),
        ({"slots": "0"}, "positive"),
        ({"slots": "2", "cold-limit": "3"}, "above slots"),
        ({"state": "asleep"}, "use one of"),
        ({"cold-seconds": "-1"}, "negative"),
    )
    def test_bad_labels_name_the_remedy(self, labels, remedy):
        with self.assertRaisesRegex(SelectorError, remedy):
            parse_labels(json.dumps({"labels": labels}).encode(), SERVER_STATES)


BALANCER_INI = """
[node]
name = entry-1
data_centre = patan-hall
[listen]
callers = 127.0.0.1:1
peers = 127.0.0.1:2
control = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
[keys]
current = 1:000102030405060708090a0b0c0d0e0f
"""


class TestSettings(unittest.TestCase):
    """Settings files."""

    def read_text(self, text, model=BalancerSettings):
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(text)
            file.flush()
            return read_settings(file.name, model)

    def test_defaults_and_explanations(self):
        settings = self.read_text(BALANCER_INI)
        self.assertEqual(settings.platform.timeout, timedelta(seconds=8))
        lines = "\n".join(explain_settings(settings))
        self.assertIn("(secret)", lines)
        self.assertNotIn("0001020304", lines)

    @params(
        (("[node]", "[node]\ncolour = red"), "node.colour: unknown key; remove it"),
        (("data_centre = patan-hall", ""), "node.data_centre: missing; add it"),
        (("patan-hall", "{{zone}}"), "node.data_centre: missing; add it"),
        (("127.0.0.1:1", "nowhere"), "not IP:PORT"),
        (("4\n", "4\ntimeout = 5 parsecs\n"), "write 250ms, 2s or 5m"),
        (("[node]", "node]"), "not INI"),
    )
    def test_bad_settings_name_the_remedy(self, change, remedy):
        with self.assertRaisesRegex(SettingsError, remedy):
            self.read_text(BALANCER_INI.replace(*change))

    def test_unfilled_placeholder_of_an_optional_key(self):
        text = BALANCER_INI + "[metrics]\nlisten = {{listen_addresses.metrics}}\n"
        self.assertIsNone(self.read_text(text).metrics.listen)

    def test_missing_file(self):
        with self.assertRaisesRegex(SettingsError, "check the path"):
            read_settings("no/such/file.ini", AgentSettings)

    @params(("250ms", 0.25), ("2s", 2.0), ("5m", 300.0))
    def test_durations(self, text, seconds):
        self.assertEqual(parse_duration(text).total_seconds(), seconds)
