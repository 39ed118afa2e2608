"""Randomized soak: real daemons under faults from outside, and promises checked.

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
    seed: int, seconds: float, network: int, folder: Path, fan_out: int = 16
) -> list[str]:
    """Play one seed, keep the logs if something is broken, and return what is."""
    soak = Soak(seed, seconds, network, fan_out)
    broken = await soak.run()
    if broken:
        soak.keep_logs(folder / f"seed-{seed}")
    print(seed, "BROKEN" if broken else "held", dict(soak.counts), flush=True)
    for line in broken[:10]:
        print("   ", line, flush=True)
    return broken


def main(
    seed: int = 1,
    count: int = 1,
    seconds: float = SOAK_SECONDS,
    network: int = 0,
    folder: str = "run/soak",
    fan_out: int = 16,
) -> None:
    """Play some seeds one after the other; exit with 1 if any promise was broken."""
    # A soak that is ended early ends its daemons too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = [
        number
        for number in range(seed, seed + count)
        if asyncio.run(run_seed(number, seconds, network, Path(folder), fan_out))
    ]
    print(f"{count} seeds played, broken: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(main)
