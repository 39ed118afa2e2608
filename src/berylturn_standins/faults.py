"""Faults on datagrams: delay, loss, duplication and reordering, from a seed."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

REORDER_SECONDS = 0.02


@dataclass
class LinkFaults:
    """Faults of one link; rates are shares from 0 to 1, `delay` is in seconds."""

    delay: float = 0.0
    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


class FaultyLink:
    """Deliver datagrams through a link with faults.

    Parameters
    ----------
    faults : LinkFaults
        May be changed while in use.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, faults: LinkFaults, seed: int) -> None:
        self.faults = faults
        self._random = random.Random(seed)

    def pass_on(self, deliver: Callable[..., None], *args: object) -> None:
        """Call `deliver` zero, one or two times, now or later."""
        faults = self.faults
        if faults.drop and self._random.random() < faults.drop:
            return
        copies = 1
        if faults.duplicate and self._random.random() < faults.duplicate:
            copies = 2
        for _ in range(copies):
            delay = faults.delay
            if faults.reorder and self._random.random() < faults.reorder:
                delay += REORDER_SECONDS * self._random.random()
            if delay:
                asyncio.get_running_loop().call_later(delay, deliver, *args)
            else:
                deliver(*args)
