"""Meter of how evenly the slots of a service's servers are busy."""

from __future__ import annotations

import asyncio
import statistics

from berylturn_standins.deployment import Deployment

from .open_load import Result
from .plot import Timeline


class ImbalanceMeter:
    """Sample how busy each backend server is, in windows of one second."""

    def __init__(self, deployment: Deployment, result: Result) -> None:
        self._deployment = deployment
        self._result = result
        self._servers = [
            s for s in deployment.plan.servers if s.service == result.service
        ]
        self.timeline = Timeline()

    async def run(self) -> None:
        """Sample until cancelled."""
        last = await self._sample()
        while True:
            await asyncio.sleep(1.0)
            now = await self._sample()
            window = {
                s.name: (now[s.name] - last[s.name]) / s.slots for s in self._servers
            }
            self.timeline.busy.append(window)
            self.timeline.refused.append(len(self._result.tally.not_run))
            self.timeline.broken.append(self._result.broken_flows)
            last = now

    def imbalance(self) -> float:
        """Return the mean over windows of highest over mean load."""
        ratios = []
        for window in self.timeline.busy:
            mean = statistics.fmean(window.values())
            if mean > 0.05:
                ratios.append(max(window.values()) / mean)
        return round(statistics.fmean(ratios), 3) if ratios else 0.0

    def imbalance_of_run(self) -> float:
        """Return highest over mean load of the whole run, where chance evens out."""
        loads = [
            statistics.fmean(window[s.name] for window in self.timeline.busy)
            for s in self._servers
        ]
        return round(max(loads) / statistics.fmean(loads), 3)

    async def _sample(self) -> dict[str, float]:
        found = {}
        for server in self._servers:
            busy = await self._deployment.get(server.name, "/_busy")
            found[server.name] = busy["busy_seconds"]
        return found
