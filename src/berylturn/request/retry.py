"""Retry rules of the caller library: which, when and how many."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0


class RetryBudget:
    """Allow retries as a share of first attempts, with a small reserve.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt.
    reserve : float
        Retries that may be saved up.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Return the retries that are allowed now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry; return False when none is left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class FailedAttempt:
    """Describe how one attempt ended."""

    may_have_run: bool
    retry_after: float = 0.0


def decide_retry(
    failure: FailedAttempt,
    repeatable: bool,
    attempt: int,
    remaining: float,
    jitter: float,
    budget: RetryBudget,
) -> float | None:
    """Return the seconds to wait before the next attempt, or None to give up.

    Parameters
    ----------
    failure : FailedAttempt
        How the last attempt ended.
    repeatable : bool
        Whether running the request twice does no harm.
    attempt : int
        Attempts so far, from 1.
    remaining : float
        Seconds until the deadline.
    jitter : float
        Random number from 0 to 1.
    budget : RetryBudget
        Asked last, so that a hopeless retry spends nothing.
    """
    if failure.may_have_run and not repeatable:
        return None
    delay = min(FIRST_DELAY_SECONDS * 2 ** (attempt - 1), MAX_DELAY_SECONDS)
    delay = max(delay * (0.5 + jitter), failure.retry_after)
    if delay >= remaining or not budget.spend():
        return None
    return delay
