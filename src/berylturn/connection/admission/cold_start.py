"""Which openings wait at a cold server, which come back later, and which are refused.

Load pattern: all servers of a service restart together and admit few openings until
their cold start ends, at a known time. Several times as many callers reopen their
flows, each with an attempt of 1.4 s and two retries. A caller that is refused again and
again has used up its retries long before the end, though the servers could then serve
it. So an opening waits for as long as it can still get a place: one that the limit
admits within the latency objective of its request, or one after the cold start. If its
attempt ends before that, but not its request, it is told to come back as soon as the
next attempt outlasts the cold start. What can get neither is refused at once. Where a
route states no objective, an opening waits if its place in the queue fits into its
attempt.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .opening_queue import ATTEMPT_SECONDS, TRANSIT_SECONDS, QueuedOpening

# Rest of an attempt that begins now, after the way to the agent and back.
FRESH_ATTEMPT_SECONDS = ATTEMPT_SECONDS - TRANSIT_SECONDS


class Prospect(Enum):
    """What the caller of an opening can expect at a cold server."""

    PLACE = "place"
    NEXT_ATTEMPT = "next_attempt"
    COME_BACK = "come_back"
    NONE = "none"


@dataclass(frozen=True, slots=True)
class ColdStart:
    """The end of a cold start, and how fast its backlog is worked off afterwards.

    Attributes
    ----------
    ends_at : float
        When openings are no longer limited, on the monotonic clock.
    seconds_per_opening : float
        Mean seconds between two admissions from then on.
    """

    ends_at: float
    seconds_per_opening: float

    def backlog_until(self, queued: int) -> float:
        """Return until when a queue is due to the cold start, and not to overload.

        By one attempt after the end, all that waited has been served or has ended.
        """
        backlog = queued * self.seconds_per_opening
        return self.ends_at + min(backlog, FRESH_ATTEMPT_SECONDS)


def judge_opening(
    opening: QueuedOpening,
    cold: ColdStart,
    place_at: float,
    ahead: int,
    now: float,
    is_spare: bool = False,
) -> Prospect:
    """Return what the caller of an opening with an objective can expect.

    Parameters
    ----------
    opening : QueuedOpening
        The opening, whether it is queued already or not.
    cold : ColdStart
        The cold start in force.
    place_at : float
        When the cold limit admits it, as things are.
    ahead : int
        Number of openings that are admitted before it after the cold start.
    now : float
        Seconds on the monotonic clock.
    is_spare : bool
        Whether so few wait that one window of the limit has places for them and for
        those who come meanwhile, so that a late opening takes none from others.
    """
    # Once it is late, those who come after it are admitted before it.
    needed_at = opening.expires_at if is_spare else opening.useful_until
    if place_at <= min(needed_at, opening.expires_at):
        return Prospect.PLACE
    after_cold = cold.ends_at + ahead * cold.seconds_per_opening
    if after_cold <= opening.expires_at:
        return Prospect.PLACE
    if after_cold > opening.request_ends_at:
        return Prospect.NONE
    if now + FRESH_ATTEMPT_SECONDS >= cold.ends_at:
        return Prospect.COME_BACK
    return Prospect.NEXT_ATTEMPT
