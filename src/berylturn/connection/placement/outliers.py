"""Decide whether a backend server is left out of placement because it fails.

Load pattern: some servers of a service fail what they accept while their siblings
answer. They get no new flows for a time that doubles with each failed return, and come
back through single openings.

Load pattern: most servers of a service fail. Then the cause is not in the servers, and
leaving some out would only overload the others, so none is left out.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .outcome_counts import SOUND_SHARE, OutcomeCounts

# Share of failures among the newest few outcomes, and among the newest few dozen, from
# which a server fails; and the failures that must have been seen.
RECENT_FAILED_SHARE = 0.5
STEADY_FAILED_SHARE = 0.15
MIN_FAILURES = 3
# Age of the last failure above which the server may have recovered.
LAST_FAILURE_SECONDS = 0.5
# Multiple of the siblings' median service time from which a server is slow, the
# siblings whose service time must be known, and the answers that must be seen after a
# cold start or a trial.
SLOW_FACTOR = 4.0
MIN_SIBLINGS_MEASURED = 3
MIN_ANSWERS_MEASURED = 32
# Siblings that must have answered since the failures began, and the service times after
# which an answer cannot be to an earlier request.
MIN_WITNESSES = 3
WITNESS_SERVICE_TIMES = 4
# Time without new flows; it doubles with each further one, and halves again for each
# period in use.
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 32.0
FORGIVING_SECONDS = 10.0
# Answers after which a server on trial is in use again.
TRIAL_ANSWERS = 3
# Time after which a server on trial gets another opening though the last one has had no
# outcome; and for which it gets only repeatable requests.
TRIAL_RETRY_SECONDS = 1.0
REPEATABLE_ONLY_SECONDS = 1.0


class Standing(Enum):
    """Standing of a server in placement."""

    IN_USE = "in_use"
    EJECTED = "ejected"
    ON_TRIAL = "on_trial"


@dataclass(frozen=True, slots=True)
class OutlierRules:
    """Settings of the detection.

    Attributes
    ----------
    enabled : bool
        Whether servers are judged.
    enforced : bool
        Whether those that fail are left out, or only logged.
    largest_share : float
        Largest share of a service's servers that are left out.
    """

    enabled: bool = False
    enforced: bool = False
    largest_share: float = 0.3


UNJUDGED = OutlierRules()


@dataclass(frozen=True, slots=True)
class SiblingState:
    """What is known of another server of the service.

    Attributes
    ----------
    host : str
        IP address of its agent.
    ejected : bool
        Whether it is left out.
    heard : bool
        Whether there is a report of it that still holds.
    answered_at : float or None
        When it last answered a request, by that report.
    failed_share : float
        Share of its recent requests that failed.
    service_seconds : float
        Its mean service time; 0 if unknown.
    """

    host: str
    ejected: bool
    heard: bool
    answered_at: float | None
    failed_share: float
    service_seconds: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """Inputs of one review.

    Attributes
    ----------
    host : str
        IP address of the own agent.
    counts : OutcomeCounts
        Outcomes at the own server.
    service_seconds : float
        Mean service time of the own server; 0 if unknown or explained by its state.
    servers : int
        Number of servers of the service in data centres that are in use.
    siblings : sequence of SiblingState
        The other servers.
    """

    host: str
    counts: OutcomeCounts
    service_seconds: float
    servers: int
    siblings: Sequence[SiblingState]


@dataclass(frozen=True, slots=True)
class Change:
    """A change of standing, for logs: event, reason and counts that decided."""

    event: str
    reason: str
    inputs: dict[str, object]


class OutlierJudge:
    """Judge one backend server by its requests and by its siblings' reports.

    Parameters
    ----------
    rules : OutlierRules
        Settings of the detection.
    """

    def __init__(self, rules: OutlierRules) -> None:
        self.rules = rules
        self._standing = Standing.IN_USE
        self._reason = ""
        self._ejections = 0
        self._until = 0.0
        self._in_use_since = 0.0
        self._trial_started_at = 0.0
        self._trial_opened_at = 0.0
        self._trial_openings = 0

    @property
    def standing(self) -> Standing:
        """Return the standing of the server."""
        return self._standing

    @property
    def ejections(self) -> int:
        """Return the number of ejections that count for the length of the next."""
        return self._ejections

    def ejected_seconds(self, now: float) -> float:
        """Return for how long the server is left out; 0 if it is not."""
        if not self.rules.enforced or self._standing is not Standing.EJECTED:
            return 0.0
        return max(0.001, self._until - now)

    def holds_back(self, answered: int, repeatable: bool, now: float) -> bool:
        """Tell whether an opening is to go to a sibling.

        Parameters
        ----------
        answered : int
            Answers since the trial began.
        repeatable : bool
            Whether the requests of the flow may be processed twice.
        now : float
            Seconds on the monotonic clock.
        """
        if not self.rules.enforced or self._standing is Standing.IN_USE:
            return False
        if self._standing is Standing.EJECTED:
            return True
        if not repeatable and now - self._trial_started_at < REPEATABLE_ONLY_SECONDS:
            return True
        is_waiting = now - self._trial_opened_at < TRIAL_RETRY_SECONDS
        return self._trial_openings > answered and is_waiting

    def record_opening(self, now: float) -> None:
        """Record that the server was given an opening."""
        if self._standing is Standing.ON_TRIAL:
            self._trial_openings += 1
            self._trial_opened_at = now

    def review(self, evidence: Evidence, now: float) -> Change | None:
        """Return the change of standing that the evidence calls for, if any."""
        if not self.rules.enabled:
            return None
        if self._standing is Standing.IN_USE:
            return self._review_in_use(evidence, now)
        if _most_fail(evidence):
            return self._readmit("most_fail", evidence, now)
        if self._standing is Standing.ON_TRIAL:
            return self._review_trial(evidence, now)
        if self._is_surplus(evidence):
            return self._readmit("share", evidence, now)
        if now < self._until:
            return None
        self._standing = Standing.ON_TRIAL
        self._trial_started_at = now
        self._trial_openings = 0
        return Change("server_on_trial", self._reason, _describe(evidence))

    def forgive(self, reason: str, evidence: Evidence, now: float) -> Change | None:
        """Put the server in use, as its state now explains what it did."""
        if self._standing is Standing.IN_USE:
            return None
        return self._readmit(reason, evidence, now)

    def _review_in_use(self, evidence: Evidence, now: float) -> Change | None:
        if self._ejections and now - self._in_use_since > FORGIVING_SECONDS:
            self._ejections -= 1
            self._in_use_since = now
        reason = _find_reason(evidence)
        if reason is None or not self._has_room(evidence):
            return None
        if reason == "failures" and (
            now - evidence.counts.last_failed_at > LAST_FAILURE_SECONDS
            or not _siblings_are_sound(evidence)
        ):
            return None
        return self._eject(reason, evidence, now)

    def _review_trial(self, evidence: Evidence, now: float) -> Change | None:
        counts = evidence.counts
        # A single hint does not end a trial.
        if counts.failed + (counts.hinted - 1) / 2 > counts.answered:
            if not self._has_room(evidence):
                return self._readmit("share", evidence, now)
            return self._eject("trial_failed", evidence, now)
        if counts.answered >= TRIAL_ANSWERS:
            return self._readmit("answers", evidence, now)
        return None

    def _eject(self, reason: str, evidence: Evidence, now: float) -> Change:
        seconds = min(
            MAX_EJECTION_SECONDS, FIRST_EJECTION_SECONDS * 2.0**self._ejections
        )
        self._ejections = min(self._ejections + 1, 16)
        self._standing = Standing.EJECTED
        self._until = now + seconds
        self._reason = reason
        return Change(
            "server_ejected", reason, {"seconds": seconds, **_describe(evidence)}
        )

    def _readmit(self, reason: str, evidence: Evidence, now: float) -> Change:
        self._standing = Standing.IN_USE
        self._in_use_since = now
        return Change("server_readmitted", reason, _describe(evidence))

    def _allowed(self, evidence: Evidence) -> int:
        return int(self.rules.largest_share * evidence.servers)

    def _has_room(self, evidence: Evidence) -> bool:
        """Tell whether the share of servers left out allows one more."""
        others = sum(sibling.ejected for sibling in evidence.siblings)
        return others < self._allowed(evidence)

    def _is_surplus(self, evidence: Evidence) -> bool:
        """Tell whether too many are left out, and others come before this one.

        Two agents that have not heard of one another may eject at the same time.
        """
        before = sum(
            sibling.ejected and sibling.host < evidence.host
            for sibling in evidence.siblings
        )
        return before >= self._allowed(evidence)


def _find_reason(evidence: Evidence) -> str | None:
    counts = evidence.counts
    fails = (
        counts.recent_share >= RECENT_FAILED_SHARE
        or counts.steady_share >= STEADY_FAILED_SHARE
        and counts.recent_share >= SOUND_SHARE
    )
    if fails and counts.failed + counts.hinted >= MIN_FAILURES:
        return "failures"
    if not evidence.service_seconds or counts.answered < MIN_ANSWERS_MEASURED:
        return None
    measured = [s.service_seconds for s in evidence.siblings if s.service_seconds]
    if len(measured) < MIN_SIBLINGS_MEASURED:
        return None
    median = sorted(measured)[len(measured) // 2]
    return "slow" if evidence.service_seconds > SLOW_FACTOR * median else None


def _siblings_are_sound(evidence: Evidence) -> bool:
    """Tell whether siblings answer requests that came after the own failures began.

    An idle sibling proves nothing, and neither do answers to earlier requests.
    """
    since = evidence.counts.failing_since
    if since is None:
        return False
    heard = [s for s in evidence.siblings if s.heard and not s.ejected]
    failing = [s for s in heard if s.failed_share >= SOUND_SHARE]
    witnesses = [
        s
        for s in heard
        if s.failed_share < SOUND_SHARE
        and s.answered_at is not None
        and s.answered_at > since + WITNESS_SERVICE_TIMES * s.service_seconds
    ]
    return (
        len(witnesses) >= min(MIN_WITNESSES, len(heard))
        and bool(heard)
        and (len(witnesses) > len(failing))
    )


def _most_fail(evidence: Evidence) -> bool:
    """Tell whether most siblings that are in use fail, too."""
    heard = [s for s in evidence.siblings if s.heard and not s.ejected]
    failing = [s for s in heard if s.failed_share >= SOUND_SHARE]
    return 2 * len(failing) > len(heard)


def _describe(evidence: Evidence) -> dict[str, object]:
    counts = evidence.counts
    heard = [s for s in evidence.siblings if s.heard]
    return {
        "counts": counts.describe(),
        "recent_share": counts.recent_share,
        "steady_share": counts.steady_share,
        "service_ms": 1000 * evidence.service_seconds,
        "servers": evidence.servers,
        "ejected": sum(sibling.ejected for sibling in evidence.siblings),
        "siblings_failing": sum(s.failed_share >= SOUND_SHARE for s in heard),
        "siblings_heard": len(heard),
    }
