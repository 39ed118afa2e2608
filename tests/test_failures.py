"""Failures and planned changes on real processes under load."""

from __future__ import annotations

import asyncio
import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta

from berylturn.caller import Caller
from berylturn_standins import scenarios
from berylturn_standins.background import (
    BackgroundLoad,
    LoadShape,
    ScenarioResult,
    evaluate_load,
)
from berylturn_standins.deployment import Deployment
from berylturn_standins.plan import BalancerPlan, Plan, ServerPlan
from berylturn_standins.ports import HOST, free_port
from berylturn_standins.statsd import StatsdStandIn

SERVICE = "booking"
DATA_CENTRES = ("patan-hall", "thamel-bar")


def build_plan(proxied: bool = False, loss: float = 0.0) -> Plan:
    """Return a plan of 3 balancers and 4 backend servers in two data centres."""
    servers = [
        ServerPlan(
            f"desk-{i}",
            SERVICE,
            DATA_CENTRES[i % 2],
            proxied=proxied,
            backend_proxied=proxied,
        )
        for i in range(4)
    ]
    balancers = [
        BalancerPlan(f"entry-{i}", DATA_CENTRES[i % 2], proxied) for i in range(3)
    ]
    return Plan([SERVICE], servers, balancers, loss=loss)


async def place_flows(deployment: Deployment, service: str, count: int) -> Counter:
    """Open `count` flows and return how many each backend server admitted."""
    async with Caller(deployment.service_address(service)) as caller:
        flows = await asyncio.gather(*(caller.open(service) for _ in range(count)))
        flow_ids = {flow.flow_id.hex() for flow in flows}
        placed: dict[str, str] = {}

        async def all_admitted() -> bool:
            for server in deployment.plan.servers:
                for line in deployment.log_lines(f"{server.name}-agent"):
                    if line["event"] == "admitted" and line["flow"] in flow_ids:
                        placed[line["flow"]] = server.name
            return len(placed) == count

        await deployment.wait_until(all_admitted, f"{count} admissions in the logs")
    return Counter(placed.values())


def count_packets(statsd: StatsdStandIn) -> int:
    """Return the number of packets that reached agents of the first data centre."""
    servers = [s.name for s in build_plan().servers if s.data_centre == DATA_CENTRES[0]]
    counters = [statsd.counters.get(name, {}) for name in servers]
    return sum(c.get("packets.from_callers", 0) for c in counters)


class Failures(unittest.IsolatedAsyncioTestCase):
    """Run each scenario under load and check that no guarantee is violated."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def run_scenario(self, scenario, plan=None, shape=None) -> ScenarioResult:
        async with Deployment(plan or build_plan()) as deployment:
            await deployment.apply_labels()
            await deployment.apply_selector(SERVICE)
            await deployment.wait_servers(SERVICE, 4)
            await scenarios.wait_fabric(deployment, 3)
            load = BackgroundLoad(deployment, shape or LoadShape(SERVICE))
            async with load:
                await asyncio.sleep(scenarios.SETTLE_SECONDS)
                await scenario(deployment)
            result = await evaluate_load(deployment, load)
        self.assertEqual(result.violations, {}, result)
        self.assertGreater(result.answered, 100)
        self.assertGreater(result.stream_items, 0)
        return result

    def check_nothing_lost(self, result):
        """Check that every request was answered and that no flow was broken."""
        self.assertEqual(result.broken_flows, 0, result)
        self.assertEqual(result.answered, result.requests, result)
        self.assertEqual(result.streams_reopened, 0, result)

    async def check_planned(self, scenario, plan=None, shape=None):
        self.check_nothing_lost(await self.run_scenario(scenario, plan, shape))

    async def test_balancer_killed(self):
        await self.check_planned(scenarios.kill_balancer)

    async def test_balancers_replaced(self):
        await self.check_planned(scenarios.replace_balancers)

    async def test_agents_replaced_in_place(self):
        await self.check_planned(scenarios.replace_agents)

    async def test_agent_replaced_while_the_platform_is_down(self):
        await self.check_planned(scenarios.replace_agent_in_outage)

    async def test_agent_replaced_twice(self):
        await self.check_planned(scenarios.replace_agent_twice)

    async def test_shares_changed(self):
        await self.check_planned(scenarios.change_shares)

    async def test_server_moved_to_another_service(self):
        other = "media"
        plan = build_plan()
        plan.services.append(other)
        plan.servers[0] = replace(plan.servers[0], other_services=(other,))
        moved = plan.servers[0].name
        admitted = []

        async def move(deployment):
            await deployment.apply_selector(other)
            await scenarios.move_server(deployment, other)
            await asyncio.sleep(scenarios.SETTLE_SECONDS)
            for service in (SERVICE, other):
                placed = await place_flows(deployment, service, 20)
                admitted.append(placed[moved])
            async with BackgroundLoad(deployment, LoadShape(other, "m", streams=0)):
                await asyncio.sleep(scenarios.SETTLE_SECONDS)

        await self.check_planned(move, plan)
        self.assertEqual(admitted, [0, 20])

    async def test_speed_label_changed(self):
        faster = build_plan().servers[0].name
        admitted = []

        async def speed_up(deployment):
            await scenarios.set_label(deployment, f"server/{faster}", "speed=9")
            placed = await place_flows(deployment, SERVICE, 120)
            admitted.append(placed[faster])

        await self.check_planned(speed_up)
        self.assertGreater(admitted[0], 60)

    async def test_every_link_loses_doubles_and_reorders(self):
        await self.check_planned(
            scenarios.disturb_all_links, build_plan(proxied=True, loss=5.0)
        )

    async def test_server_drained(self):
        await self.check_planned(scenarios.drain_server)

    async def test_platform_down_while_balancers_change(self):
        await self.check_planned(scenarios.fail_platform)

    async def test_balancer_paused(self):
        await self.check_planned(scenarios.pause_balancer)

    async def test_lossy_fabric(self):
        await self.check_planned(scenarios.hold_steady, build_plan(loss=5.0))

    async def test_connections_go_silent(self):
        result = await self.run_scenario(
            scenarios.silence_connections,
            build_plan(proxied=True),
            LoadShape(SERVICE, pause=0.4),
        )
        self.assertEqual(result.broken_flows, 0, result)
        self.assertLess(result.longest_gap, 3.0)

    async def check_local(self, scenario):
        """Check that a failure broke only some flows, and that no gap was long."""
        result = await self.run_scenario(scenario)
        self.assertLess(result.broken_flows, 40)
        self.assertLess(result.longest_gap, 3.0)

    async def test_data_centre_starts_cold(self):
        await self.check_local(scenarios.restart_data_centre)

    async def test_cold_server_joins(self):
        await self.check_planned(scenarios.join_cold_server)

    async def test_backend_server_lost(self):
        result = await self.run_scenario(scenarios.kill_backend)
        self.assertLess(result.broken_flows, 40)
        self.assertEqual(set(result.endings), {"server_lost"})
        self.assertLess(result.longest_gap, 3.0)

    async def test_backend_server_answers_nothing_for_a_while(self):
        result = await self.run_scenario(scenarios.break_backend)
        self.assertLess(result.broken_flows, 40)
        self.assertEqual(set(result.endings), {"server_lost"})
        self.assertLess(result.unknown, 15, result)
        self.assertLess(result.longest_gap, 3.0)

    async def test_no_new_flow_at_draining_server(self):
        admitted = []

        async def drain(deployment):
            await scenarios.drain_while_balancers_change(deployment)
            placed = await place_flows(deployment, SERVICE, 40)
            admitted.append(placed["desk-0"])

        await self.check_planned(drain)
        self.assertEqual(admitted, [0])

    async def test_no_packet_to_data_centre_that_is_out(self):
        plan = build_plan()
        plan.statsd_port = free_port()
        statsd = StatsdStandIn()
        await statsd.start((HOST, plan.statsd_port))
        late_packets = []

        async def take_out(deployment):
            target = f"data-centre/{DATA_CENTRES[0]}"
            await scenarios.set_label(deployment, target, "state=out")
            await asyncio.sleep(3.0)
            before = count_packets(statsd)
            await asyncio.sleep(2.0)
            late_packets.append(count_packets(statsd) - before)
            await scenarios.set_label(deployment, target, "state=in")
            await asyncio.sleep(2.0)

        result = await self.run_scenario(take_out, plan)
        statsd.close()
        self.assertEqual(late_packets, [0])
        self.assertEqual(set(result.endings), {"data_centre_out"})
        self.assertLess(result.longest_gap, 2.0)

    async def test_data_centres_cut_off_from_each_other(self):
        async def cut(deployment):
            await scenarios.cut_data_centres(deployment)
            await deployment.wait_servers(SERVICE, 4)

        result = await self.run_scenario(cut, build_plan(proxied=True))
        self.assertLess(result.longest_gap, 4.0)

    async def test_agent_killed(self):
        await self.check_local(scenarios.kill_agent)

    async def test_failures_together_and_twice(self):
        await self.check_local(scenarios.fail_together)

    async def test_agent_paused(self):
        await self.check_local(scenarios.pause_agent)

    async def test_backend_server_restarted(self):
        await self.check_local(scenarios.restart_backend)

    async def test_data_centre_taken_out(self):
        await self.check_local(scenarios.take_data_centre_out)

    async def test_agent_replaced_with_slow_platform(self):
        await self.check_slow_replacement(delay=1.0)

    async def test_agent_replaced_with_very_slow_platform(self):
        await self.check_slow_replacement(delay=5.0)

    async def check_slow_replacement(self, delay):
        async def replace_slowly(deployment):
            await deployment.post("platform", "/_switches", {"delay": delay})
            server = deployment.plan.servers[0]
            await scenarios.replace_agent(deployment, server)

            async def taken_over() -> bool:
                lines = deployment.log_lines(f"{server.name}-agent")
                return any(line["event"] == "took_over" for line in lines)

            await deployment.wait_until(taken_over, "the hand-over")

        shape = LoadShape(SERVICE, deadline=timedelta(seconds=60))
        await self.check_planned(replace_slowly, shape=shape)

    async def test_changes_with_a_platform_that_takes_5_s(self):
        admitted = []

        async def change_slowly(deployment):
            await deployment.post("platform", "/_switches", {"delay": 5.0})
            drained = deployment.plan.servers[0].name
            await asyncio.gather(
                scenarios.set_label(deployment, f"server/{drained}", "state=drain"),
                scenarios.replace_balancers(deployment),
            )
            placed = await place_flows(deployment, SERVICE, 40)
            admitted.append(placed[drained])

        await self.check_planned(change_slowly)
        self.assertEqual(admitted, [0])

    async def test_requests_refused_in_overload_did_not_run(self):
        shape = LoadShape(
            SERVICE,
            sessions=60,
            pause=0.01,
            work_ms=40.0,
            deadline=timedelta(milliseconds=150),
        )
        result = await self.run_scenario(scenarios.hold_steady, shape=shape)
        self.assertGreater(result.not_run, 0)
        self.assertEqual((result.shed, result.broken_flows), (0, 0), result)
        budget = 0.1 * result.requests + 10 * shape.sessions
        self.assertLessEqual(result.retries, budget)

    async def test_answers_of_the_platform_lost(self):
        async def change_with_lost_answers(deployment):
            await deployment.post("platform", "/_switches", {"lose_answers": 2})
            await scenarios.replace_agent(deployment, deployment.plan.servers[1])
            await deployment.post("platform", "/_switches", {"lose_answers": 2})
            await scenarios.take_data_centre_out(deployment)

        result = await self.run_scenario(change_with_lost_answers)
        self.assertEqual(set(result.endings), {"data_centre_out"})
        self.assertLess(result.longest_gap, 3.0)
