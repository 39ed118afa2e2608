"""Measurement of how evenly the servers of a service are loaded."""

from __future__ import annotations

import asyncio
import statistics

from berylturn_standins.deployment import Deployment

from .open_load import Result
from .plot import Timeline


class ImbalanceMeter:
    """Sample the busy share of each backend server in windows of one second."""

    def __init__(self, deployment: Deployment, result: Result) -> None:
        self._deployment = deployment
        self._result = result
        self._servers = [
            server
            for server in deployment.plan.servers
            if server.service == result.service
        ]
        self.timeline = Timeline()

    async def run(self) -> None:
        """Sample until cancelled."""
        previous = await self._read_busy_seconds()
        while True:
            await asyncio.sleep(1.0)
            current = await self._read_busy_seconds()
            window = {
                server.name: (current[server.name] - previous[server.name])
                / server.slots
                for server in self._servers
            }
            self.timeline.busy.append(window)
            self.timeline.refused.append(len(self._result.tally.not_run))
            self.timeline.broken.append(self._result.broken_flows)
            previous = current

    def mean_imbalance(self) -> float:
        """Return the mean over all windows of the highest over the mean load."""
        ratios = []
        for window in self.timeline.busy:
            mean = statistics.fmean(window.values())
            if mean > 0.05:
                ratios.append(max(window.values()) / mean)
        return round(statistics.fmean(ratios), 3) if ratios else 0.0

    def imbalance_of_run(self) -> float:
        """Return the highest over the mean load of the whole run.

        Over a whole run, random differences between windows even out.
        """
        loads = [
            statistics.fmean(window[server.name] for window in self.timeline.busy)
            for server in self._servers
        ]
        return round(max(loads) / statistics.fmean(loads), 3)

    async def _read_busy_seconds(self) -> dict[str, float]:
        busy_seconds = {}
        for server in self._servers:
            reply = await self._deployment.get(server.name, "/_busy")
            busy_seconds[server.name] = reply["busy_seconds"]
        return busy_seconds
