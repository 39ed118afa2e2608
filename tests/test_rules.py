"""Table-driven tests of rules without I/O: placement, admission, retries, views."""

from __future__ import annotations

import doctest
import importlib
import itertools
import json
import pkgutil
import unittest
from collections import Counter

from nose2.tools import params

import berylturn
from berylturn.connection.breaker import CircuitBreaker
from berylturn.connection.channel import ChannelAction, ChannelMonitor
from berylturn.connection.frames import LoadDigest
from berylturn.connection.gate import AdmissionGate
from berylturn.connection.keys import Key, KeyRing
from berylturn.connection.packets import Open, Ping, decode_to_caller, encode_packet
from berylturn.connection.router import Drop, Forward, route_packet
from berylturn.connection.siblings import Siblings
from berylturn.connection.token import RouteToken, issue_token
from berylturn.domain import (
    CloseReason,
    ConfigObject,
    Limits,
    MemberState,
    RefusalReason,
    Role,
    Status,
)
from berylturn.process.announce_targets import AnnounceTargets
from berylturn.request.queue import QueuedRequest, RequestQueue
from berylturn.request.retry import FailedAttempt, RetryBudget, decide_retry
from berylturn.version.placement import place_flow, rank_candidates
from berylturn.version.view import View


def agent(name, centre, status=Status.ALIVE, epoch=1):
    return MemberState(name, Role.AGENT, centre, ("127.0.0.1", 1), epoch, status)


def labels(name, version, **values):
    body = {"labels": {"app": "booking", **values}}
    return ConfigObject(f"server/{name}", version, json.dumps(body).encode())


def selector(version, service="booking", address="127.0.0.1:9", shares=None):
    body = {"service": service, "address": address, "match": "app=booking"}
    if shares:
        body["shares"] = shares
    return ConfigObject(f"selector/{service}", version, json.dumps(body).encode())


def make_view(shares=None):
    view = View()
    view.apply([labels("a", 1), labels("b", 2), labels("c", 3, speed="2")])
    view.apply([selector(4, shares=shares)])
    for name, centre in (("a", "x"), ("b", "x"), ("c", "y")):
        view.set_agent(agent(name, centre))
    return view


def make_desk_view(cold_seconds, slots=3):
    """Return a view with one labelled server and its service."""
    limits = {"slots": str(slots), "cold-limit": "1"}
    limits["cold-seconds"] = str(cold_seconds)
    view = View()
    view.apply([labels("desk", 1, **limits), selector(2)])
    return view


def flows(count):
    return [i.to_bytes(16) for i in range(count)]


class Placement(unittest.TestCase):
    """Choice of the backend server of a new flow."""

    @params(
        (None, {"a": 25, "b": 25, "c": 50}),
        ({"x": 80, "y": 20}, {"a": 40, "b": 40, "c": 20}),
        ({"x": 0, "y": 100}, {"a": 0, "b": 0, "c": 100}),
    )
    def test_shares_and_weights(self, shares, expected):
        table = make_view(shares).table("booking")
        found = Counter(place_flow(table, f, 0).name for f in flows(4000))
        for name, percent in expected.items():
            self.assertAlmostEqual(found[name] / 40, percent, delta=3)

    def test_attempts_reach_every_server_and_change_data_centre_first(self):
        table = make_view().table("booking")
        for flow in flows(50):
            ranked = rank_candidates(table, flow)
            tried = [place_flow(table, flow, attempt) for attempt in range(3)]
            self.assertEqual(tried, ranked)
            self.assertEqual({c.name for c in tried}, {"a", "b", "c"})
            self.assertNotEqual(tried[0].data_centre, tried[1].data_centre)

    @params(
        (labels("a", 9, state="drain"), {"b", "c"}),
        (ConfigObject("server/a", 9, None), {"b", "c"}),
        (ConfigObject("data-centre/x", 9, b'{"labels": {"state": "out"}}'), {"c"}),
    )
    def test_ineligible_servers_take_no_flows(self, change, eligible):
        view = make_view()
        view.apply([change])
        found = {place_flow(view.table("booking"), f, 0).name for f in flows(200)}
        self.assertEqual(found, eligible)

    @params(
        ([("a", Status.SUSPECT)], {"b", "c"}),
        ([("a", Status.DEAD), ("b", Status.LEFT)], {"c"}),
        ([("a", Status.SUSPECT), ("b", Status.SUSPECT), ("c", Status.SUSPECT)], None),
    )
    def test_suspects_are_used_only_without_live_servers(self, changes, eligible):
        view = make_view()
        for name, status in changes:
            view.set_agent(agent(name, "x" if name != "c" else "y", status))
        found = {place_flow(view.table("booking"), f, 0).name for f in flows(200)}
        self.assertEqual(found, eligible or {"a", "b", "c"})

    def test_an_invalid_object_keeps_the_last_valid_one_in_force(self):
        view = make_view()
        (change,) = view.apply([ConfigObject("selector/booking", 9, b"{")])
        self.assertIn("malformed", change.problem)
        self.assertEqual(view.table("booking").size, 3)
        self.assertEqual(view.store.version("selector/booking"), 9)
        self.assertEqual(view.services["booking"].version, 4)

    @params(*itertools.permutations((4, 8, 9)))
    def test_configuration_in_force_does_not_depend_on_the_order(self, *order):
        versions = {v: selector(v, address=f"127.0.0.1:{v}") for v in (4, 8)}
        versions[9] = ConfigObject("selector/booking", 9, b"{")
        view = make_view()
        for version in order:
            view.apply([versions[version]])
        entry = view.services["booking"]
        self.assertEqual((entry.version, entry.selector.address), (8, "127.0.0.1:8"))
        peer = View()
        peer.apply(view.store.in_buckets(set(range(64))))
        self.assertEqual(peer.services["booking"].version, 8)
        self.assertEqual(peer.store.digest(), view.store.digest())
        self.assertIn("selector/booking", peer.problems)

    @params(
        ([], 9, False),
        ([], 3, True),
        ([selector(4)], 9, True),
    )
    def test_objects_missing_from_a_listing_are_deleted(self, listed, revision, kept):
        view = make_view()
        view.apply_complete(listed, revision)
        view.apply([selector(4)])
        self.assertEqual("booking" in view.services, kept)
        agent_view = make_view()
        agent_view.apply(view.objects_for_agent("a", "x", ["booking"]))
        self.assertEqual("booking" in agent_view.services, kept)
        view.apply([selector(10)])
        self.assertIn("booking", view.services)

    def test_objects_deleted_between_listings_stay_deleted(self):
        # The object was written again at revision 7 and deleted before revision 9; a
        # peer that missed the second deletion still has the copy.
        view = make_view()
        view.apply_complete([], 5)
        view.apply_complete([], 9)
        view.apply([selector(7)])
        self.assertNotIn("booking", view.services)

    def test_listed_objects_stay_in_force_when_received_again(self):
        # The listing at revision 6 contained version 4. A newer invalid version must
        # not make a repeated version 4 count as deleted.
        view = make_view()
        view.apply_complete([selector(4)], 6)
        view.apply([ConfigObject("selector/booking", 9, b"{")])
        view.apply([selector(4)])
        self.assertIn("booking", view.services)

    @params(("booking", "media"), ("media", "booking"))
    def test_services_that_share_an_address_are_reported(self, first, second):
        view = View()
        view.apply([selector(4, service=first)])
        view.apply([selector(5, service=second)])
        found = view.shared_addresses()
        self.assertEqual(found, {"127.0.0.1:9": ["booking", "media"]})
        self.assertEqual(set(view.services), {"booking", "media"})


KEYS = KeyRing(Key(1, bytes(16)))
TOKEN = issue_token(RouteToken("h", 7, 1, "x", "booking", bytes(16)), KEYS)
FORGED = issue_token(
    RouteToken("h", 7, 1, "x", "booking", bytes(16)), KeyRing(Key(1, b"z" * 16))
)


class Routing(unittest.TestCase):
    """Routing of one datagram by a balancer."""

    @params(
        (b"\x00garbage", Drop("malformed")),
        (bytes(2000), Drop("malformed")),
        (encode_packet(Ping(b"", 0, 0)), Drop("forged")),
        (encode_packet(Ping(FORGED, 0, 0)), Drop("forged")),
        (encode_packet(Ping(TOKEN, 0, 0)), Forward(("h", 7))),
    )
    def test_routes(self, data, expected):
        self.assertEqual(route_packet(data, make_view(), KEYS), expected)

    def test_tokens_route_without_configuration(self):
        found = route_packet(encode_packet(Ping(TOKEN, 0, 0)), View(), KEYS)
        self.assertEqual(found, Forward(("h", 7)))

    def test_tokens_of_a_data_centre_that_is_out_are_refused(self):
        view = make_view()
        body = b'{"labels": {"state": "out"}}'
        view.apply([ConfigObject("data-centre/x", 9, body)])
        found = route_packet(encode_packet(Ping(TOKEN, 0, 0)), view, KEYS)
        closed = decode_to_caller(found.data)
        self.assertEqual(closed.reason, CloseReason.DATA_CENTRE_OUT)

    @params(("media", "unknown_service"), ("booking", "no_server"))
    def test_opens_without_a_server_are_refused(self, service, reason):
        view = View()
        view.apply([selector(4)])
        found = route_packet(encode_packet(Open(bytes(16), service)), view, KEYS)
        self.assertEqual(found.reason, reason)


class PassingOn(unittest.TestCase):
    """Conditions under which an agent passes a new flow on to a sibling."""

    def choose(self, own, others, full=False, centres=None):
        siblings = Siblings("me")
        siblings.set_members([agent(name, centre) for name, centre, _ in others])
        for name, _, count in others:
            digest = LoadDigest(name, 1, ["booking"], 0, 0, count, 3, 3.0, True)
            siblings.on_digest(digest, 0.0)
        siblings.record_own_digest(own)
        chosen = siblings.choose_sibling(
            "booking", own, 3.0, full, [], centres, now=0.1
        )
        return chosen.name if chosen else None

    @params(
        (10, [("b", "x", 10)], None),
        (20, [("b", "x", 10)], "b"),
        (11, [("b", "x", 10)], None),
        (20, [("b", "x", 30), ("c", "y", 2)], "c"),
        (0, [], None),
    )
    def test_only_a_clear_excess_is_passed_on(self, own, others, chosen):
        self.assertEqual(self.choose(own, others), chosen)

    def test_shares_keep_flows_in_their_data_centre(self):
        others = [("b", "x", 19), ("c", "y", 0)]
        self.assertEqual(self.choose(30, others, centres={"x"}), "b")

    def test_the_excess_of_one_report_is_passed_on_once(self):
        siblings = Siblings("me")
        siblings.set_members([agent("b", "x")])
        digest = LoadDigest("b", 1, ["booking"], 0, 0, 0, 3, 3.0, True)
        siblings.on_digest(digest, 0.0)
        siblings.record_own_digest(20)
        passed = [
            siblings.choose_sibling("booking", 20, 3.0, False, [], None, now=0.1)
            for _ in range(40)
        ]
        self.assertEqual(sum(p is not None for p in passed), 9)

    def test_stale_digests_are_ignored(self):
        siblings = Siblings("me")
        siblings.set_members([agent("b", "x")])
        siblings.on_digest(LoadDigest("b", 1, ["booking"], 0, 0, 0, 3, 3.0, True), 0.0)
        siblings.record_own_digest(20)
        args = ("booking", 20, 3.0, False, [], None)
        self.assertIsNone(siblings.choose_sibling(*args, now=2.0))


class Retries(unittest.TestCase):
    """Choice of the failures that are retried."""

    @params(
        (False, False, 1, 1.0, True),
        (True, True, 1, 1.0, True),
        (True, False, 1, 1.0, False),
        (False, False, 1, 0.01, False),
    )
    def test_decisions(self, may_have_run, repeatable, attempt, remaining, retried):
        failure = FailedAttempt(may_have_run)
        delay = decide_retry(
            failure, repeatable, attempt, remaining, 0.5, RetryBudget()
        )
        self.assertEqual(delay is not None, retried)

    def test_the_budget_bounds_retries(self):
        budget = RetryBudget(share=0.1, reserve=5.0)
        allowed = 0
        for _ in range(1000):
            budget.record_first_attempt()
            allowed += (
                decide_retry(FailedAttempt(False), True, 1, 9.0, 0.5, budget)
                is not None
            )
        self.assertLessEqual(allowed, 105)
        self.assertGreaterEqual(allowed, 95)


class Gate(unittest.TestCase):
    """Admission control in front of a backend server."""

    LIMITS = Limits(slots=3, cold_limit=1, cold_seconds=2.0, connections=5)

    def answer(self, gate, now, seconds, count):
        for _ in range(count):
            self.assertTrue(gate.start(now))
            gate.finish(now, gate.generation, seconds)

    def test_the_limit_rises_only_by_answers_after_the_cold_time(self):
        gate = AdmissionGate(self.LIMITS, 0.0)
        self.answer(gate, 1.0, 0.1, 50)
        self.assertEqual(gate.limit, 1)
        self.answer(gate, 3.0, 0.1, 3)
        self.assertEqual(gate.limit, 2)
        self.answer(gate, 3.0, 0.1, 6)
        self.assertEqual(gate.limit, 3)

    @params(
        (0.0, 0, 1),
        (1.9, 0, 1),
        (2.1, 0, 1),
        (2.1, 1, 5),
    )
    def test_late_labels_do_not_end_a_cold_start(self, now, answers, limit):
        gate = AdmissionGate(Limits(cold_seconds=2.0), 0.0)
        self.answer(gate, now, 0.1, answers)
        gate.set_limits(Limits(slots=5, cold_limit=1, cold_seconds=2.0), now)
        self.assertEqual(gate.limit, limit)

    @params((3.0, 0.0, 3), (2.0, 0.0, 2), (1.0, 1.0, 1))
    def test_a_successor_keeps_the_limit(self, limit, cold_seconds_left, expected):
        gate = AdmissionGate(Limits(), 0.0)
        gate.restore(limit, cold_seconds_left, 0.0)
        gate.set_limits(self.LIMITS, 0.1)
        self.assertEqual(gate.limit, expected)

    def test_answers_from_before_a_restart_are_ignored(self):
        gate = AdmissionGate(self.LIMITS, 0.0)
        gate.start(0.0)
        generation = gate.generation
        gate.enter_cold_start(1.0)
        gate.finish(9.0, generation, 0.1)
        self.assertEqual(gate.limit, 1)

    def test_slow_answers_cause_a_cold_start(self):
        gate = AdmissionGate(self.LIMITS, 0.0)
        self.answer(gate, 3.0, 0.1, 60)
        self.assertTrue(gate.warm)
        self.answer(gate, 4.0, 0.5, 6)
        self.assertEqual(gate.limit, 1)

    @params(
        ("draining", RefusalReason.DRAINING),
        ("data_centre_out", RefusalReason.DRAINING),
        ("server_down", RefusalReason.DRAINING),
    )
    def test_flows_are_refused_while_none_are_accepted(self, name, reason):
        gate = AdmissionGate(self.LIMITS, 0.0)
        setattr(gate, name, True)
        self.assertEqual(gate.admit_flow(0.0), reason)

    def test_connections_are_bounded(self):
        gate = AdmissionGate(self.LIMITS, 0.0)
        found = [gate.admit_flow(0.0) for _ in range(6)]
        self.assertEqual(found, [None] * 5 + [RefusalReason.FULL])


class QueueAdmission(unittest.TestCase):
    """Queue of a server that runs one request at a time, each for one second."""

    @params(
        ([], 1.0, False),
        ([], 1.2, True),
        ([1.2], 2.1, False),
        ([1.2], 2.3, True),
        ([1.2], 1.15, False),
        ([5.0], 1.2, True),
        ([9.0] * 8, 9.0, False),
    )
    def test_a_new_request_makes_none_late(self, waiting, deadline, accepted):
        queue = RequestQueue(8)
        for due in waiting:
            queue.push(QueuedRequest(b"", 0, due))
        self.assertEqual(queue.accepts(deadline, 0.0, 1.0, 1), accepted)

    def test_the_earliest_deadline_is_next(self):
        queue = RequestQueue(8)
        for number, due in enumerate((3.0, 1.0, 2.0, 1.0, 0.5)):
            queue.push(QueuedRequest(b"", number, due))
        self.assertEqual([w.number for w in queue.expire(0.7)], [4])
        order = [queue.pop().number for _ in range(4)]
        self.assertEqual(order, [1, 3, 2, 0])


class CircuitBreaking(unittest.TestCase):
    """Pauses for a server that closes connections without an answer."""

    @params(
        (1, 0.04, True, False),
        (1, 0.06, False, False),
        (4, 0.3, True, False),
        (5, 0.7, True, True),
        (5, 0.9, False, False),
        (40, 9.9, True, True),
        (40, 10.1, False, False),
    )
    def test_pauses_double(self, failures, after, is_open, lost):
        breaker = CircuitBreaker()
        for _ in range(failures):
            breaker.record_failure(1.0)
        now = 1.0 + after
        self.assertEqual(
            (breaker.is_open(now), breaker.is_server_lost(now)), (is_open, lost)
        )
        breaker.record_success()
        self.assertFalse(breaker.is_open(1.0))

    def test_requests_of_one_restart_count_as_one_failure(self):
        gate = AdmissionGate(Limits(slots=3), 0.0)
        for _ in range(9):
            gate.record_failure(1.0, 0)
            gate.enter_cold_start(1.0)
        self.assertFalse(gate.may_start(1.04))
        self.assertTrue(gate.may_start(1.06))


class SilentChannels(unittest.TestCase):
    """Detection of peers that no longer answer."""

    def test_probe_then_rebind_once_then_unreachable(self):
        monitor = ChannelMonitor()
        monitor.record_sent(("h", 1), 0.0)
        actions = [a for t in range(1, 30) for _, a in monitor.tick(t / 10)]
        self.assertEqual(actions[0], ChannelAction.PROBE)
        self.assertEqual(actions.count(ChannelAction.REBIND), 1)
        self.assertEqual(monitor.unreachable(2.9), {("h", 1)})
        monitor.record_reply(("h", 1))
        self.assertEqual(monitor.unreachable(2.9), set())

    def test_an_agent_leaves_balancers_that_do_not_answer(self):
        targets = AnnounceTargets([("h", 1), ("h", 2), ("h", 3)], period=1.0)
        asked = [a for t in range(40) for a, _, _ in targets.start_due(t / 10)]
        self.assertEqual(set(asked), {("h", 1), ("h", 2), ("h", 3)})
        self.assertTrue(targets.pop_unreachable())


class Examples(unittest.TestCase):
    """Examples in the doc texts of all modules."""

    def test_examples_are_true(self):
        attempted = 0
        for info in pkgutil.walk_packages(berylturn.__path__, "berylturn."):
            result = doctest.testmod(importlib.import_module(info.name))
            self.assertEqual(result.failed, 0, info.name)
            attempted += result.attempted
        self.assertGreater(attempted, 15)
