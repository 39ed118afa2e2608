"""Randomized soak: run real daemons under faults and check what berylturn guarantees.

python -m berylturn_standins.soak --seed=1 --count=50
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import fire

from .soak_plan import SOAK_SECONDS
from .soak_play import Soak


async def run_seed(
    seed: int,
    seconds: float,
    network: int,
    folder: Path,
    fan_out: int = 16,
    further: bool = False,
) -> list[str]:
    """Run one seed and return the violations; keep the logs if there are any."""
    soak = Soak(seed, seconds, network, fan_out, further)
    violations = await soak.run()
    if violations:
        soak.write_logs(folder / f"seed-{seed}")
    print(seed, "BROKEN" if violations else "held", dict(soak.counts), flush=True)
    for line in violations[:10]:
        print("   ", line, flush=True)
    return violations


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = SOAK_SECONDS,
    network: int = 0,
    folder: str = "run/soak",
    fan_out: int = 16,
    further: bool = True,
) -> None:
    """Run `count` seeds one after the other; exit with 1 if any had violations."""
    # SIGTERM raises KeyboardInterrupt, so that the daemons are ended too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed_seeds = [
        number
        for number in range(seed, seed + count)
        if asyncio.run(
            run_seed(number, seconds, network, Path(folder), fan_out, further)
        )
    ]
    print(f"{count} seeds played, broken: {failed_seeds}")
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    fire.Fire(main)
