"""Outcomes of the requests at one backend server, as a layer-4 node sees them.

Load pattern: a server accepts flows and fails their requests at once. It is idle after
each failure, so it looks like the server that would complete the next one first.

The content of an answer is not read. A reset or an end without an answer, an opening
that the server returns, and silence are failures. An answer that is both far sooner and
far shorter than usual may be a rejection; it is only a hint and counts half.
"""

from __future__ import annotations

from collections import Counter, deque
from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request, or of the opening before it."""

    ANSWERED = "answered"
    HASTY = "hasty"
    RESET = "reset"
    CLOSED = "closed"
    RETURNED = "returned"
    UNANSWERED = "unanswered"


# Share of a failure that an outcome counts as.
FAILURE_WEIGHTS = {Outcome.ANSWERED: 0.0, Outcome.HASTY: 0.5}
# Weights of the newest outcome in the two averages of failures: one shows within a few
# requests that all fail, the other that some of many do.
RECENT_WEIGHT = 0.25
STEADY_WEIGHT = 0.05
# Share of failures below which a server counts as sound.
SOUND_SHARE = 0.15
# An answer is hasty below these shares of the usual time and size.
HASTY_TIME_SHARE = 0.125
HASTY_SIZE_SHARE = 0.33
# Weights of the newest answer and of a hasty one in what is usual, and the answers that
# must be known.
USUAL_WEIGHT = 0.02
HASTY_USUAL_WEIGHT = 0.002
MIN_USUAL_ANSWERS = 20
# Time for which a failure adds to the load that the server reports.
AVERSION_SECONDS = 1.0
# Bound of the failures that add to the load.
MAX_AVERSION = 32


class OutcomeCounts:
    """Average the failures of one backend server.

    Attributes
    ----------
    excused : frozenset of Outcome
        Outcomes that the state of the server explains; they are not recorded.
    answered_at : float or None
        When the server last answered, on the monotonic clock.
    """

    def __init__(self) -> None:
        self.answered_at: float | None = None
        self.excused: frozenset[Outcome] = frozenset()
        self._usual_seconds = 0.0
        self._usual_size = 0.0
        self._answers = 0
        self._failed_at: deque[float] = deque(maxlen=MAX_AVERSION)
        self.forget()

    @property
    def recent_share(self) -> float:
        """Return the share of failures among the newest few outcomes."""
        return self._recent

    @property
    def steady_share(self) -> float:
        """Return the share of failures among the newest few dozen outcomes."""
        return self._steady

    @property
    def failed_share(self) -> float:
        """Return the larger of the two averages, for load reports."""
        return max(self._recent, self._steady)

    @property
    def failing_since(self) -> float | None:
        """Return when the failures began, or None if the server counts as sound."""
        return self._failing_since

    @property
    def last_failed_at(self) -> float:
        """Return when the server last failed, on the monotonic clock."""
        return self._failed_at[-1] if self._failed_at else float("-inf")

    @property
    def answered(self) -> int:
        """Return the number of answers since the last `forget`."""
        return self._counts[Outcome.ANSWERED]

    @property
    def failed(self) -> int:
        """Return the number of certain failures since the last `forget`."""
        return self._counts.total() - self.answered - self._counts[Outcome.HASTY]

    @property
    def hinted(self) -> int:
        """Return the number of hasty answers since the last `forget`."""
        return self._counts[Outcome.HASTY]

    def forget(self) -> None:
        """Start anew; what is usual for an answer is kept."""
        self._recent = 0.0
        self._steady = 0.0
        self._failing_since: float | None = None
        self._counts: Counter[Outcome] = Counter()
        self._failed_at.clear()

    def forget_answers(self) -> None:
        """Forget the number of answers, as those of a cold server tell no speed."""
        del self._counts[Outcome.ANSWERED]

    def describe(self) -> dict[str, int]:
        """Return the counts since the last `forget` for logs."""
        return {str(outcome): count for outcome, count in self._counts.items()}

    def record(self, outcome: Outcome, now: float) -> None:
        """Count an outcome unless the state of the server explains it."""
        if outcome in self.excused:
            return
        if outcome is Outcome.ANSWERED:
            self.answered_at = now
        weight = FAILURE_WEIGHTS.get(outcome, 1.0)
        self._counts[outcome] += 1
        self._recent += RECENT_WEIGHT * (weight - self._recent)
        self._steady += STEADY_WEIGHT * (weight - self._steady)
        if weight:
            self._failed_at.append(now)
        if self.failed_share < SOUND_SHARE:
            self._failing_since = None
        elif self._failing_since is None:
            self._failing_since = now

    def record_answer(self, seconds: float, size: int, now: float) -> Outcome:
        """Count an answer by its time and size; return what it was taken for."""
        is_hasty = (
            self._answers >= MIN_USUAL_ANSWERS
            and seconds < HASTY_TIME_SHARE * self._usual_seconds
            and size < HASTY_SIZE_SHARE * self._usual_size
        )
        self._answers += 1
        weight = max(USUAL_WEIGHT, 1 / self._answers)
        if is_hasty:
            weight = HASTY_USUAL_WEIGHT
        self._usual_seconds += weight * (seconds - self._usual_seconds)
        self._usual_size += weight * (size - self._usual_size)
        outcome = Outcome.HASTY if is_hasty else Outcome.ANSWERED
        self.record(outcome, now)
        return outcome

    def aversion(self, now: float) -> int:
        """Return the failures of the last second, which count as outstanding work."""
        return sum(now - at <= AVERSION_SECONDS for at in self._failed_at)
