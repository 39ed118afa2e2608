"""Tests of real daemons for passthrough flows with a stand-in for the platform."""

from __future__ import annotations

import asyncio
import functools
import json
import signal
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable

from nose2.tools import params

from berylturn.process.logs import FLUSH_SECONDS
from berylturn.process.object_view import KINDS
from berylturn_standins.odd_entries import read_odd_entries
from berylturn_standins.opaque_deployment import SERVICE_ADDRESS, OpaqueDeployment

BALANCERS = {"front-a": "dc-a", "front-b": "dc-b"}
AGENTS = {
    "side-a1": ("dc-a", "desk"),
    "side-a2": ("dc-a", "desk"),
    "side-b1": ("dc-b", "desk"),
    "side-r1": ("dc-a", "room"),
}
FLOWS = 12
# Attempts of 1.4 s within which a balancer notices that its channel is silent, and
# those that are made until each balancer has been picked.
REBIND_ATTEMPTS = 4
MAX_ATTEMPTS = 40
# Time within which a configuration is in force on every daemon.
CONFIGURATION_SECONDS = 3.0


def run_async(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Return a test that runs a coroutine; nose2 does not await tests with `params`."""

    @functools.wraps(test)
    def run(*arguments: object) -> None:
        asyncio.run(test(*arguments))

    return run


async def open_flows(deployment: OpaqueDeployment) -> list:
    """Open `FLOWS` flows and send one request on each."""
    flows = [await deployment.callers.open(SERVICE_ADDRESS) for _ in range(FLOWS)]
    assert all(flows), deployment.format_failure_lines()
    assert all([await flow.send_request() for flow in flows]), (
        deployment.format_failure_lines()
    )
    return flows


async def all_answered(flows: list) -> bool:
    """Send one request on each flow; return whether all were answered."""
    return all(await asyncio.gather(*(flow.send_request() for flow in flows)))


def read_relays(log: str) -> list[str]:
    """Return the relays that an agent chose last."""
    lines = [json.loads(line) for line in log.splitlines() if '"relays_chosen"' in line]
    return lines[-1]["relays"] if lines else []


async def wait_until_only_seeds_watch(deployment: OpaqueDeployment) -> None:
    """Wait until agents get changes from seeds, and only seeds watch the platform.

    An agent that was short of CPU time may have missed frames of seeds and begun a
    watch, which ends after 29 s. Seeds pause after changes of the directory before they
    watch again.
    """
    for name in deployment.agents:
        await deployment.wait_until(
            lambda n=name: (
                deployment.read_log(n).count('"platform_left_to_peers"') >= 3
            ),
            60,
        )
    await deployment.wait_until(
        lambda: deployment.platform.open_watches == 3 * len(BALANCERS), 60
    )


async def wait_until_evacuated(deployment: OpaqueDeployment, data_centre: str) -> None:
    """Wait until every daemon knows that only this data centre is evacuated."""
    for name in deployment.hosts:
        await deployment.wait_until(
            lambda n=name: f'"out":["{data_centre}"]' in deployment.read_log(n)
        )


class CallCounts:
    """Counts of the platform's calls at one time."""

    def __init__(self, deployment: OpaqueDeployment) -> None:
        self.calls = Counter(deployment.platform.calls)
        self.by_host = Counter(deployment.platform.calls_by_host)


class TestDaemons(unittest.TestCase):
    """Flows and traffic while processes, the platform or settings change."""

    def assert_seeds_called_once(
        self, deployment: OpaqueDeployment, before: CallCounts
    ) -> None:
        """Check that a change has cost a watch of each seed, and only seeds' checks."""
        counts = CallCounts(deployment)
        calls = counts.calls - before.calls
        self.assertEqual((len(BALANCERS), 0), (calls["watch"], calls["write"]))
        # Each check lists the evacuations, and a change makes it read each kind once.
        self.assertLessEqual(calls.keys(), {"watch", "read", "list evacuations"})
        self.assertLessEqual(calls["read"], len(KINDS) * len(BALANCERS))
        seeds = {deployment.platform_hosts[name] for name in BALANCERS}
        self.assertLessEqual((counts.by_host - before.by_host).keys(), seeds)

    async def assert_in_force_in_time(
        self, deployment: OpaqueDeployment, version: int
    ) -> None:
        """Write a configuration and check when each daemon has it in force."""
        loop = asyncio.get_running_loop()
        written_at = loop.time()
        await deployment.configure(version, room=1.0)
        for name in deployment.hosts:
            await deployment.wait_until(
                lambda n=name: f'"version":{version}' in deployment.read_log(n)
            )
        self.assertLess(loop.time() - written_at, CONFIGURATION_SECONDS)

    @params(
        ("balancer stopped", "front-a", signal.SIGTERM, False),
        ("balancer killed", "front-a", signal.SIGKILL, True),
        ("agent killed", "side-a1", signal.SIGKILL, False),
        ("agent stopped", "side-b1", signal.SIGTERM, True),
    )
    @run_async
    async def test_flows_survive_process_end(
        self, _: str, name: str, signal_number: int, consistent_hashing: bool
    ) -> None:
        async with OpaqueDeployment(
            BALANCERS, AGENTS, consistent_hashing
        ) as deployment:
            flows = await open_flows(deployment)
            await deployment.stop(name, signal_number)
            if name in BALANCERS:
                await deployment.wait_until(lambda: len(deployment.router.ready) == 1)
                self.assertTrue(await all_answered(flows))
            await deployment.start(name)
            await deployment.wait_until(lambda: len(deployment.router.ready) == 2)
            await deployment.wait_until(
                lambda: deployment.read_log(name).count('"started"') == 2
            )
            self.assertTrue(await all_answered(flows))
            served = sum(len(b.opened) for b in deployment.backends.values())
            self.assertEqual(FLOWS, served)

    @run_async
    async def test_sighup_and_metrics(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            flows = await open_flows(deployment)
            for process in deployment.processes.values():
                process.send_signal(signal.SIGHUP)
            self.assertTrue(await all_answered(flows))
            page = ""
            for name in AGENTS:
                page += await deployment.read_metrics(name)
            self.assertIn("berylturn_flow_admitted_total", page)
            self.assertIn("berylturn_response_seconds_bucket", page)

    @params(("by signal", True), ("without a signal", False))
    @run_async
    async def test_settings_change(self, _: str, signalled: bool) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            path = deployment.settings_path("side-a1")
            text = path.read_text().replace("cold_slack = 5", "cold_slack = 3")
            path.write_text(text.replace("metrics]\nlisten", "metrics]\n;listen"))
            if signalled:
                deployment.processes["side-a1"].send_signal(signal.SIGHUP)
            expected_fields = (
                '"changed":["opaque_backend.cold_slack"],'
                '"needs_restart":["metrics.listen"]'
            )
            await deployment.wait_until(
                lambda: expected_fields in deployment.read_log("side-a1")
            )
            path.write_text(text.replace("cold_slack = 3", "cold_slack = few"))
            await deployment.wait_until(
                lambda: '"reload_refused"' in deployment.read_log("side-a1")
            )
            await open_flows(deployment)

    @run_async
    async def test_inspect_shows_daemon_state(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            await open_flows(deployment)
            agent = await deployment.inspect("side-a1")
            self.assertEqual("agent", agent["role"])
            self.assertEqual(1, agent["configuration"])
            self.assertEqual("desk", agent["backend"]["service"])
            self.assertIsNone(agent["refuses"])
            balancer = await deployment.inspect("front-a")
            self.assertEqual(sorted(AGENTS), balancer["agents"])
            self.assertTrue(balancer["ready"])
            flows = [(await deployment.inspect(name))["flows"] for name in AGENTS]
            self.assertEqual(FLOWS, sum(flows))

    @params("busy", "many", "reset", "silent")
    @run_async
    async def test_node_starts_while_platform_calls_fail(self, mode: str) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            flows = await open_flows(deployment)
            await deployment.stop("front-a", signal.SIGKILL)
            deployment.platform.faults.mode = mode
            deployment.platform.faults.hosts = {deployment.platform_hosts["front-a"]}
            await deployment.wait_until(lambda: len(deployment.router.ready) == 1)
            await deployment.start("front-a")
            await deployment.wait_until(lambda: len(deployment.router.ready) == 2)
            self.assertGreater(deployment.platform.failed_calls, 0)
            self.assertTrue(await all_answered(flows))

    @run_async
    async def test_draining_server_gets_no_opening(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            flows = await open_flows(deployment)
            draining = deployment.backends["side-a1"]
            draining.state = "draining"
            self.assertTrue(await draining.send_heartbeat(deployment.http))
            before = len(draining.opened)
            await open_flows(deployment)
            self.assertEqual(before, len(draining.opened))
            self.assertTrue(await all_answered(flows))

    @params(("moved", {"room": 1.0}), ("dropped", {}))
    @run_async
    async def test_changed_route(self, _: str, shares: dict) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            flows = await open_flows(deployment)
            await deployment.platform.forget_history()
            await deployment.configure(7, **shares)
            for name in BALANCERS:
                await deployment.wait_until(
                    lambda n=name: '"version":7' in deployment.read_log(n)
                )
            if shares:
                self.assertTrue(await all_answered(flows))
            room = deployment.backends["side-r1"]
            flow = await deployment.callers.open(SERVICE_ADDRESS)
            self.assertEqual(bool(shares), flow is not None)
            self.assertEqual(len(shares), len(room.opened))

    @run_async
    async def test_evacuated_data_centre_gets_no_opening(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            await deployment.platform.put("evacuations", "dc-a", {})
            for name in [*BALANCERS, "side-a1", "side-a2"]:
                await deployment.wait_until(
                    lambda n=name: '"out":["dc-a"]' in deployment.read_log(n)
                )
            await open_flows(deployment)
            self.assertEqual(FLOWS, len(deployment.backends["side-b1"].opened))

    @run_async
    async def test_report_of_another_service_is_refused(self) -> None:
        # The address of a lost server may go to a server of another service, and a
        # late report of the lost one may arrive.
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            backend = deployment.backends["side-r1"]
            backend.service = "desk"
            self.assertFalse(await backend.send_heartbeat(deployment.http))
            await open_flows(deployment)
            self.assertEqual(0, len(backend.opened))
            await deployment.wait_until(
                lambda: '"heartbeat_of_other"' in deployment.read_log("side-r1")
            )

    @run_async
    async def test_lost_entry_is_restored(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            deployment.platform.faults.lost_answers = 1
            await deployment.platform.remove("berylturn-agents", "side-a1")
            await deployment.wait_until(
                lambda: "side-a1" in deployment.platform.names("berylturn-agents")
            )
            await open_flows(deployment)

    @run_async
    async def test_flows_survive_a_lost_entry(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            second, first = (deployment.hosts[name] for name in BALANCERS)
            deployment.router.choose = lambda flow: first
            flows = await open_flows(deployment)
            for name in ("side-a1", "side-a2"):
                # After a restart, an agent does not know the owners of others' flows.
                await deployment.stop(name, signal.SIGKILL)
                await deployment.start(name)
                await deployment.wait_for_entry_count(name, len(AGENTS))
            # The agent that has lost its entry cannot write it again yet.
            deployment.platform.faults.hosts = {deployment.platform_hosts["side-b1"]}
            deployment.platform.faults.mode = "busy"
            await deployment.platform.remove("berylturn-agents", "side-b1")
            others = [name for name in deployment.hosts if name != "side-b1"]
            for name in others:
                await deployment.wait_for_entry_count(name, len(AGENTS) - 1)
            # This balancer has no hint for any flow, so the agents search for owners.
            deployment.router.choose = lambda flow: second
            self.assertTrue(
                await all_answered(flows), deployment.format_failure_lines()
            )
            await deployment.wait_until(lambda: deployment.platform.failed_calls > 0)

    @run_async
    async def test_only_seeds_watch_the_platform(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            platform = deployment.platform
            await wait_until_only_seeds_watch(deployment)
            before = CallCounts(deployment)
            await platform.put("evacuations", "dc-a", {})
            await wait_until_evacuated(deployment, "dc-a")
            await deployment.wait_until(
                lambda: platform.open_watches == 3 * len(BALANCERS)
            )
            self.assert_seeds_called_once(deployment, before)

    @run_async
    async def test_agents_relay_changes_from_seeds(self) -> None:
        # With a fan-out of one, two of the four agents ask the two seeds. The other two
        # ask those agents.
        agents = {f"side-{n}": ("dc-a", "desk") for n in range(4)}
        async with OpaqueDeployment(BALANCERS, agents, fan_out=1) as deployment:
            platform = deployment.platform
            # Agents choose by the directory, which reaches them in steps.
            for name in agents:
                await deployment.wait_for_entry_count(name, len(agents))
            await wait_until_only_seeds_watch(deployment)
            await asyncio.sleep(2 * FLUSH_SECONDS)
            followers = [
                name for name in agents if read_relays(deployment.read_log(name))
            ]
            self.assertEqual(2, len(followers))
            before = CallCounts(deployment)
            await platform.put("evacuations", "dc-b", {})
            await wait_until_evacuated(deployment, "dc-b")
            await deployment.wait_until(
                lambda: platform.open_watches == 3 * len(BALANCERS), 60
            )
            self.assert_seeds_called_once(deployment, before)
            for name in set(agents) - set(followers):
                # The agents that asked this agent now ask the seeds.
                await deployment.stop(name, signal.SIGKILL)
            await platform.put("evacuations", "dc-c", {})
            for name in followers:
                await deployment.wait_until(
                    lambda n=name: '"out":["dc-b","dc-c"]' in deployment.read_log(n)
                )

    @run_async
    async def test_odd_entries_stop_no_daemon(self) -> None:
        odd = read_odd_entries()
        names = [*BALANCERS, *AGENTS]
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            platform = deployment.platform
            for entry, spec in odd.items():
                await platform.put("berylturn-agents", entry, spec)
            await platform.put("evacuations", "dc-x", odd["odd-deep"])
            # One daemon of each role also reads the entries in lists at its start.
            for name in ("front-b", "side-b1"):
                await deployment.stop(name, signal.SIGKILL)
                await deployment.start(name)
            for name in names:
                await deployment.wait_for_entry_count(name, len(AGENTS) + len(odd))
            await platform.put("evacuations", "dc-y", {})
            for name in names:
                await deployment.wait_until(
                    lambda n=name: '"out":["dc-x","dc-y"]' in deployment.read_log(n)
                )
            flows = await open_flows(deployment)
            self.assertTrue(await all_answered(flows))
            for name in names:
                self.assertIsNone(deployment.processes[name].returncode)
                log = deployment.read_log(name)
                self.assertNotIn("task_failed", log)
                self.assertNotIn("callback_failed", log)
                for entry in odd:
                    lines = log.count(f'"entry_unreadable","name":"{entry}"')
                    # Once in each process that this name has had.
                    self.assertIn(lines, (1, 2), f"{name}: {entry}")

    @run_async
    async def test_agents_watch_the_platform_when_all_seeds_are_lost(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            for name in BALANCERS:
                await deployment.stop(name, signal.SIGKILL)
            await deployment.platform.put("evacuations", "dc-a", {})
            for name in AGENTS:
                await deployment.wait_until(
                    lambda n=name: '"out":["dc-a"]' in deployment.read_log(n)
                )

    @run_async
    async def test_change_while_watches_deliver_nothing(self) -> None:
        # What is between the seeds and the platform keeps their connections alive and
        # delivers nothing on them, so that only a timeout of their own shows it.
        async with OpaqueDeployment(BALANCERS, AGENTS, proxied=True) as deployment:
            await wait_until_only_seeds_watch(deployment)
            for proxy in deployment.platform_proxies.values():
                proxy.silence_connections()
            await self.assert_in_force_in_time(deployment, 7)
            # The checks have ended the silent watches, so changes arrive at once again.
            for name in BALANCERS:
                await deployment.wait_until(
                    lambda n=name: (
                        '"watch_silent","kind":"configuration"'
                        in deployment.read_log(n)
                    )
                )
            await self.assert_in_force_in_time(deployment, 8)

    @run_async
    async def test_channel_to_an_agent_goes_silent(self) -> None:
        # What is between the balancers and the only agent of a service loses track of
        # their channels to it, and forwards nothing on them any more.
        async with OpaqueDeployment(BALANCERS, AGENTS, proxied=True) as deployment:
            await deployment.configure(7, room=1.0)
            for name in BALANCERS:
                await deployment.wait_until(
                    lambda n=name: '"version":7' in deployment.read_log(n)
                )
            self.assertTrue(await open_flows(deployment))
            deployment.peer_proxies["side-r1"].silence_connections()
            # Callers of a balancer that has not noticed yet fail; routers pick one for
            # each flow. Once both have, all callers are served.
            failed = 0
            for _ in range(MAX_ATTEMPTS):
                if all("channel_rebound" in deployment.read_log(n) for n in BALANCERS):
                    break
                failed += await deployment.callers.open(SERVICE_ADDRESS) is None
            self.assertLessEqual(failed, len(BALANCERS) * REBIND_ATTEMPTS)
            self.assertTrue(await all_answered(await open_flows(deployment)))

    @run_async
    async def test_calls_stay_within_platform_rate_limit(self) -> None:
        async with OpaqueDeployment(BALANCERS, AGENTS) as deployment:
            deployment.platform.limit_calls(20)
            await asyncio.gather(*(deployment.stop(name) for name in AGENTS))
            await asyncio.gather(*(deployment.start(name) for name in AGENTS))
            for name in AGENTS:
                await deployment.wait_for_entry_count(name, len(AGENTS))
                # An agent admits no flow before its backend server has reported.
                await deployment.wait_until(
                    lambda n=name: (
                        deployment.read_log(n).count('"event":"backend_state"') >= 2
                    )
                )
            await open_flows(deployment)
            self.assertEqual(0, deployment.platform.rate_limited_calls)

    @run_async
    async def test_restarted_server_ends_its_flows_at_once(self) -> None:
        async with OpaqueDeployment(BALANCERS, {"s": ("dc-a", "desk")}) as deployment:
            flows = await open_flows(deployment)
            backend = deployment.backends["s"]
            backend.restart()
            self.assertFalse(await all_answered(flows))
            self.assertTrue(all(flow.reset for flow in flows))
