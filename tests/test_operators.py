"""The operators' tool under racing changes, lost answers and platform outages."""

from __future__ import annotations

import asyncio
import base64
import json
import signal
import unittest

from berylturn_standins.deployment import Deployment
from berylturn_standins.plan import BalancerPlan, Plan
from berylturn_standins.ports import HOST

TARGET = "data-centre/patan-hall"


class Operators(unittest.IsolatedAsyncioTestCase):
    """The tool reports what was written and what is in force."""

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        plan = Plan(["booking"], [], [BalancerPlan("entry-0", "patan-hall")])
        self.deployment = Deployment(plan)
        await self.enterAsyncContext(self.deployment)
        await self.deployment.wait_registered(1)

    async def set_label(self, label, *options):
        return await self.deployment.run_tool("label", "set", TARGET, label, *options)

    async def labels(self):
        _, output = await self.deployment.run_tool("label", "list", TARGET, "--json")
        return json.loads(output)[TARGET]["labels"]

    async def set_platform_faults(self, **faults):
        await self.deployment.post("platform", "/_switches", faults)

    async def test_one_of_two_racing_operators_wins(self):
        await self.set_platform_faults(delay=1.0)
        results = await asyncio.gather(self.set_label("a=1"), self.set_label("a=2"))
        await self.set_platform_faults(delay=0.0)
        statuses = [status for status, _ in results]
        self.assertEqual(sorted(statuses), [0, 2], results)
        winner = "12"[statuses.index(0)]
        self.assertEqual(await self.labels(), {"a": winner})
        loser = results[statuses.index(2)][1]
        self.assertIn("read it and try again", loser)

    async def test_lost_answer_is_resolved_by_reading_back(self):
        await self.set_platform_faults(lose_answers=1)
        status, output = await self.set_label("a=1", "--wait")
        self.assertEqual((status, await self.labels()), (0, {"a": "1"}), output)

    async def test_platform_down(self):
        await self.set_platform_faults(outage=True)
        status, output = await self.set_label("a=1")
        await self.set_platform_faults(outage=False)
        self.assertEqual(status, 1)
        self.assertIn("try again", output)

    async def test_tool_killed_between_write_and_answer(self):
        await self.set_platform_faults(delay=1.0)
        call = asyncio.create_task(self.set_label("a=1"))
        await asyncio.sleep(0.1)
        call.cancel()
        await self.set_platform_faults(delay=0.0)
        status, output = await self.set_label("b=2", "--wait")
        self.assertEqual(status, 0, output)
        self.assertEqual((await self.labels())["b"], "2")

    async def test_wait_names_balancers_that_are_behind(self):
        await self.deployment.kill("entry-0")
        status, output = await self.set_label("a=1", "--wait")
        self.assertEqual(status, 3, output)
        self.assertIn("not in force at entry-0", output)

    async def test_one_address_for_two_services(self):
        await self.deployment.apply_selector("booking")
        path = self.deployment.folder / "other.ini"
        text = (self.deployment.folder / "booking.ini").read_text()
        path.write_text(text.replace("service = booking", "service = media"))
        status, output = await self.deployment.run_tool("selector", "apply", str(path))
        self.assertEqual(status, 1)
        self.assertIn("belongs to service booking", output)

    async def write_selector(self, service):
        path = self.deployment.folder / f"{service}.ini"
        path.write_text(
            f"[selector]\nservice = {service}\naddress = {HOST}:9\nmatch = app=x\n"
        )
        return str(path)

    async def test_deletion_missing_from_the_compacted_history(self):
        await self.deployment.apply_selector("booking")
        await self.deployment.signal("entry-0", signal.SIGSTOP)
        await self.deployment.run_tool("selector", "remove", "booking")
        await self.deployment.post("platform", "/_compact")
        await self.deployment.signal("entry-0", signal.SIGCONT)

        async def deleted() -> bool:
            _, output = await self.deployment.run_tool("status", "--json")
            return json.loads(output)["entry-0"]["services"] == {}

        await self.deployment.wait_until(deleted, "the deletion in force")

    async def test_two_services_race_for_one_address(self):
        paths = [await self.write_selector(name) for name in ("booking", "media")]
        await self.set_platform_faults(delay=0.5)
        calls = [self.deployment.run_tool("selector", "apply", path) for path in paths]
        results = await asyncio.gather(*calls)
        await self.set_platform_faults(delay=0.0)
        statuses = [status for status, _ in results]
        self.assertEqual(statuses.count(0), 1, results)
        _, output = await self.deployment.run_tool("selector", "list", "--json")
        winner = ("booking", "media")[statuses.index(0)]
        self.assertEqual(list(json.loads(output)), [f"selector/{winner}"])

    async def test_claim_of_a_crashed_tool_can_be_released(self):
        body = base64.b64encode(b'{"service": "media"}').decode()
        content = {"body": body, "expected": 0, "change_id": "x"}
        url = f"{self.deployment.platform_url}/objects/address%2F{HOST}:9"
        async with self.deployment.http.put(url, json=content) as response:
            self.assertEqual(response.status, 200)
        path = await self.write_selector("booking")
        status, output = await self.deployment.run_tool("selector", "apply", path)
        self.assertEqual(status, 1)
        self.assertIn("`berylturn selector remove media`", output)
        removed = await self.deployment.run_tool(
            "selector", "remove", "media", "--wait"
        )
        self.assertEqual(removed[0], 0, removed)
        applied = await self.deployment.run_tool("selector", "apply", path, "--wait")
        self.assertEqual(applied[0], 0, applied)

    async def test_address_given_up_by_a_selector_is_free(self):
        await self.deployment.apply_selector("booking")
        selector_text = (self.deployment.folder / "booking.ini").read_text()
        await self.deployment.run_tool(
            "selector", "apply", await self.write_selector("booking")
        )
        path = self.deployment.folder / "media.ini"
        path.write_text(selector_text.replace("booking", "media"))
        status, output = await self.deployment.run_tool("selector", "apply", str(path))
        self.assertEqual(status, 0, output)

    async def test_selector_that_matches_nothing_is_accepted_with_a_warning(self):
        await self.deployment.apply_selector("booking")
        path = str(self.deployment.folder / "booking.ini")
        status, output = await self.deployment.run_tool("selector", "apply", path)
        self.assertEqual(status, 0)
        self.assertIn("warning: the selector matches no backend server", output)
