"""Seeded faults of datagram links: delay, loss, duplication and reordering."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

MAX_REORDER_DELAY_SECONDS = 0.02


@dataclass
class LinkFaults:
    """Faults of one link.

    Attributes
    ----------
    delay : float
        Delay of every datagram, in seconds.
    drop, duplicate, reorder : float
        Probabilities, from 0 to 1.
    """

    delay: float = 0.0
    drop: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0


class FaultyLink:
    """Deliver datagrams through a link with faults.

    Parameters
    ----------
    faults : LinkFaults
        Faults of the link; they may be changed while it is in use.
    seed : int
        Seed of the random choices.
    """

    def __init__(self, faults: LinkFaults, seed: int) -> None:
        self.faults = faults
        self._random = random.Random(seed)

    def transmit(self, deliver: Callable[..., None], *args: object) -> None:
        """Call `deliver` zero, one or two times, at once or after a delay."""
        faults = self.faults
        if faults.drop and self._random.random() < faults.drop:
            return
        copies = 1
        if faults.duplicate and self._random.random() < faults.duplicate:
            copies = 2
        for _ in range(copies):
            delay = faults.delay
            if faults.reorder and self._random.random() < faults.reorder:
                delay += MAX_REORDER_DELAY_SECONDS * self._random.random()
            if delay:
                asyncio.get_running_loop().call_later(delay, deliver, *args)
            else:
                deliver(*args)
