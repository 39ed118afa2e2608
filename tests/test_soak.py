"""Short soak runs with seeds that failed before."""

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

# Soaks started by hand use the networks below this number.
FIRST_NETWORK = 16
LOG_FOLDER = Path("run/soak")
# Each seed that failed before, with the cause of its failure.
SEEDS = [
    (
        19,
        "a server restarted with its clock set back and got 24 openings while cold",
    ),
    (37, "the same at another server, with pauses and a network cut in between"),
    (20, "SIGHUP before a daemon had run its first instruction; the soak now waits"),
    (3, "copies of an earlier answer arrived; the callers' end now drops them"),
    (
        6,
        "a paused agent refused an opening after a copy of it had opened the flow at"
        " another agent; its reset has no position, and the callers' end now ignores"
        " it; later, flows of an agent whose entry the platform had lost were reset:"
        " such an agent is now still asked",
    ),
    (507, "the same, with all processes killed right after the entry was lost"),
    (105, "SIGTERM while a daemon was still importing; it then exits with status -15"),
    (35, "an agent that had just started ended flows before it knew the other agents"),
]


# The same for soaks with all parts switched on and the further faults.
FURTHER_SEEDS = [
    (
        2,
        "the channels to the only agent of a service went silent while its reports"
        " went on, so no caller was served any more",
    ),
]


class TestSoak(unittest.TestCase):
    """No guarantee is violated while faults follow each other and overlap."""

    @params(("first faults", SEEDS, False), ("further faults", FURTHER_SEEDS, True))
    def test_seeds(self, _: str, seeds: list[tuple[int, str]], further: bool) -> None:
        async def run_all() -> list[list[str]]:
            return await asyncio.gather(
                *(
                    run_seed(seed, SOAK_SECONDS, network, LOG_FOLDER, further=further)
                    for network, (seed, _) in enumerate(seeds, FIRST_NETWORK)
                )
            )

        violations = asyncio.run(run_all())
        failed_seeds = {
            seed: (cause, lines)
            for (seed, cause), lines in zip(seeds, violations, strict=True)
            if lines
        }
        self.assertEqual({}, failed_seeds)


class TestPlan(unittest.TestCase):
    """A seed always gives the same faults."""

    @params(*range(1, 6))
    def test_repeats_and_overlaps(self, seed: int) -> None:
        schedule = plan_faults(seed, SOAK_SECONDS)
        self.assertEqual(schedule, plan_faults(seed, SOAK_SECONDS))
        self.assertTrue(
            all(CALM_START_SECONDS <= a.starts_at < SOAK_SECONDS for a in schedule)
        )
        successive_faults = zip(schedule, schedule[1:], strict=False)
        self.assertTrue(
            any(b.starts_at < a.starts_at + a.seconds for a, b in successive_faults)
        )

    def test_seeds_cover_every_fault(self) -> None:
        planned: list[ScheduledFault] = []
        for seed in range(1, 51):
            planned += plan_faults(seed, SOAK_SECONDS, further=True)
        self.assertEqual(set(Fault), {scheduled.fault for scheduled in planned})
