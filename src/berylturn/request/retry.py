"""Retries of the caller library: eligibility, backoff and budget."""

from __future__ import annotations

from dataclasses import dataclass

FIRST_DELAY_SECONDS = 0.05
MAX_DELAY_SECONDS = 1.0


class RetryBudget:
    """Token bucket that allows retries as a share of first attempts.

    Parameters
    ----------
    share : float
        Retries allowed per first attempt.
    reserve : float
        Size of the bucket, which starts full.
    """

    def __init__(self, share: float = 0.1, reserve: float = 10.0) -> None:
        self._share = share
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Return how many retries the bucket holds."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Add a share of a retry to the bucket."""
        self._tokens = min(self._reserve, self._tokens + self._share)

    def spend(self) -> bool:
        """Take one retry from the bucket; return False when it holds none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(frozen=True)
class FailedAttempt:
    """How one attempt failed; `retry_after` is the advised pause in seconds."""

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
        Whether the request may safely run twice.
    attempt : int
        Attempts so far, from 1.
    remaining : float
        Seconds until the deadline.
    jitter : float
        Random number from 0 to 1.
    budget : RetryBudget
        Budget of retries, charged last, so that a retry that is not made is free.
    """
    if failure.may_have_run and not repeatable:
        return None
    delay = min(FIRST_DELAY_SECONDS * 2 ** (attempt - 1), MAX_DELAY_SECONDS)
    delay = max(delay * (0.5 + jitter), failure.retry_after)
    if delay >= remaining or not budget.spend():
        return None
    return delay
