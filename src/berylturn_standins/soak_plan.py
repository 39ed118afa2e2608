"""Faults of one soak, drawn from its seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

# A seed gives the same faults only for soaks of the same length.
SOAK_SECONDS = 15.0
# Faults begin once flows are open, and end before the recovery is checked.
CALM_START_SECONDS = 2.0
LONGEST_FAULT_SECONDS = 4.0
# Time between the starts of two faults; shorter than most of them, so they overlap.
GAP_SECONDS = (0.3, 2.0)


class Fault(StrEnum):
    """A fault or planned change that a soak causes from outside the daemons."""

    TERM = "term"
    KILL = "kill"
    PAUSE = "pause"
    HANGUP = "hangup"
    HERD_KILL = "herd_kill"
    PLATFORM_BUSY = "platform_busy"
    PLATFORM_MANY = "platform_many"
    PLATFORM_RESET = "platform_reset"
    PLATFORM_SILENT = "platform_silent"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_CUT = "platform_cut"
    CONNECTIONS_SILENT = "connections_silent"
    CONNECTIONS_RESET = "connections_reset"
    LOST_ANSWERS = "lost_answers"
    HISTORY_GONE = "history_gone"
    ENTRY_LAPSES = "entry_lapses"
    PEERS_CUT = "peers_cut"
    PEERS_ONE_WAY = "peers_one_way"
    PEERS_LOSSY = "peers_lossy"
    PEERS_SLOW = "peers_slow"
    SERVER_RESTART = "server_restart"
    SERVER_CLOCK_BACK = "server_clock_back"
    SERVER_DRAIN = "server_drain"
    CONFIGURE = "configure"
    EVACUATE = "evacuate"
    ODD_ENTRIES = "odd_entries"
    POWER_LOSS = "power_loss"
    SERVER_FAILS = "server_fails"
    CENTRES_CUT = "centres_cut"


# Faults that a further soak draws as well, beside those that the same seed always had.
FURTHER = (Fault.POWER_LOSS, Fault.SERVER_FAILS, Fault.CENTRES_CUT)
# Faults that a seed draws; another writer leaves odd entries in each soak.
DRAWN = tuple(f for f in Fault if f not in (Fault.ODD_ENTRIES, *FURTHER))
# Faults that disturb the service; the others are planned changes.
UNPLANNED = frozenset(
    fault
    for fault in Fault
    if fault
    not in (
        Fault.HANGUP,
        Fault.SERVER_DRAIN,
        Fault.CONFIGURE,
        Fault.EVACUATE,
        Fault.ODD_ENTRIES,
    )
)


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """One fault: when it begins, how long it lasts, and what it affects.

    Attributes
    ----------
    starts_at, seconds : float
        Start in seconds since the start of the load, and duration.
    fault : Fault
        Kind of the fault.
    pick : float
        From 0 to 1; picks a daemon, a backend server or a data centre.
    share : float
        From 0 to 1; determines how many daemons a fault affects that affects several.
        For ``CONFIGURE``, picks the configuration.
    """

    starts_at: float
    fault: Fault
    seconds: float
    pick: float
    share: float


def plan_faults(
    seed: int, seconds: float, further: bool = False
) -> list[ScheduledFault]:
    """Return the faults of a seed in the order of their starts.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    seconds : float
        Duration of the soak.
    further : bool
        Whether faults of `FURTHER` are added to those of the seed.
    """
    generator = random.Random(seed)
    schedule: list[ScheduledFault] = []
    starts_at = CALM_START_SECONDS
    # Few kinds in a run, so that each overlaps itself and the others more than once.
    kinds = generator.sample(DRAWN, k=6)
    while starts_at < seconds - LONGEST_FAULT_SECONDS:
        duration = generator.uniform(0.2, LONGEST_FAULT_SECONDS)
        fault = generator.choice(kinds)
        schedule.append(
            ScheduledFault(
                starts_at, fault, duration, generator.random(), generator.random()
            )
        )
        starts_at += generator.uniform(*GAP_SECONDS)
    odd_at = generator.uniform(CALM_START_SECONDS, seconds - LONGEST_FAULT_SECONDS)
    schedule.append(ScheduledFault(odd_at, Fault.ODD_ENTRIES, 0.0, 0.0, 0.0))
    for fault in generator.sample(FURTHER, k=2) if further else ():
        at = generator.uniform(CALM_START_SECONDS, seconds - LONGEST_FAULT_SECONDS)
        duration = generator.uniform(1.0, LONGEST_FAULT_SECONDS)
        picks = generator.random(), generator.random()
        schedule.append(ScheduledFault(at, fault, duration, *picks))
    return sorted(schedule, key=lambda scheduled: scheduled.starts_at)
