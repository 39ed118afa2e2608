"""Short runs of the soak: seeds that failed once, and one more."""

from __future__ import annotations

import asyncio
import unittest
from pathlib import Path

from nose2.tools import params

from berylturn_standins.soak import run_seed
from berylturn_standins.soak_plan import (
    CALM_START_SECONDS,
    SOAK_SECONDS,
    Fault,
    ScheduledFault,
    plan_faults,
)

# Soaks that are run by hand use the first networks.
FIRST_NETWORK = 16
LOGS = Path("run/soak")
# Each seed that failed, with its cause.
SEEDS = [
    (19, "a server that restarted with its clock set back got 24 openings cold"),
    (37, "the same at another server, with pauses and a cut between"),
    (20, "SIGHUP before the first instruction of a daemon; the soak waits now"),
    (3, "copies of an earlier answer; the callers' end drops them now"),
    (
        6,
        "a frozen agent refused an opening late that a copy had opened elsewhere; its"
        " reset has no position, and the callers' end ignores it now; later, flows of"
        " an agent whose entry the platform had lost were reset: it is still asked now",
    ),
    (507, "the same, with all processes killed just after the entry was lost"),
    (105, "SIGTERM while a daemon was still importing; it ends with -15 then"),
    (35, "an agent that had just started ended flows before it knew the others"),
]


class TestSoak(unittest.TestCase):
    """The promises hold while faults come in series and overlap."""

    def test_seeds(self) -> None:
        async def run_all() -> list[list[str]]:
            return await asyncio.gather(
                *(
                    run_seed(seed, SOAK_SECONDS, network, LOGS)
                    for network, (seed, _) in enumerate(SEEDS, FIRST_NETWORK)
                )
            )

        found = asyncio.run(run_all())
        broken = {
            seed: (cause, lines)
            for (seed, cause), lines in zip(SEEDS, found, strict=True)
            if lines
        }
        self.assertEqual({}, broken)


class TestPlan(unittest.TestCase):
    """A seed gives the same faults each time."""

    @params(*range(1, 6))
    def test_repeats_and_overlaps(self, seed: int) -> None:
        acts = plan_faults(seed, SOAK_SECONDS)
        self.assertEqual(acts, plan_faults(seed, SOAK_SECONDS))
        self.assertTrue(
            all(CALM_START_SECONDS <= a.starts_at < SOAK_SECONDS for a in acts)
        )
        pairs = zip(acts, acts[1:], strict=False)
        self.assertTrue(any(b.starts_at < a.starts_at + a.seconds for a, b in pairs))

    def test_every_fault_comes(self) -> None:
        planned: list[ScheduledFault] = []
        for seed in range(1, 51):
            planned += plan_faults(seed, SOAK_SECONDS)
        self.assertEqual(set(Fault), {act.fault for act in planned})
