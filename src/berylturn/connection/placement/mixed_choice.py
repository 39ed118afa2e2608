"""Choice of a server for a feed, and for a flow of one request beside feeds.

Load pattern: feeds that last for many requests, and flows of one request each, go to
the same servers of uneven speed, and demand swings. A feed goes where the open feeds
will occupy the smallest share of the server, and a flow of one request to the server
that will have completed it first, with what the feeds bring meanwhile.

Balancers and agents use the same functions. Many of them choose by the same reports of
half a second ago; so that they do not all choose the same server, each looks at a few
servers only, the first in the flow's order (the power of a few choices, Mitzenmacher
2001; with old information it does better than the least loaded of all, Mitzenmacher
2000).
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from ...version.owners import AgentEntry
from ..peer_frames import LoadReport
from .flow_habits import Habit
from .work_meter import DEFAULT_SERVICE_SECONDS

if TYPE_CHECKING:
    from .load_board import LoadBoard

# Time by which a server in another data centre must be sooner to be chosen: the way
# there and back, and its cost.
REMOTE_SECONDS = 0.01
# Servers of one data centre that are compared for a feed and for a single request.
FEED_CHOICES = 4
SINGLE_CHOICES = 4
# Multiple of the mean demand for which feeds are placed.
PEAK_FACTOR = 1.2
# Step of the share from which the growth of the wait is reckoned.
SHARE_STEP = 0.01
# Time by which a server in another data centre must be better for a feed, which sends
# between the two for as long as it lasts.
REMOTE_FEED_SECONDS = 0.05
# Bound of the share for which a wait is reckoned.
MAX_SHARE = 0.95


def is_mixed(candidates: Sequence[AgentEntry], board: LoadBoard, now: float) -> bool:
    """Tell whether a server of a service reports feeds beside single requests."""
    reports = (board.fresh_report(agent.host, now) for agent in candidates)
    return any(report is not None and report.mixed for report in reports)


def feed_share(report: LoadReport | None, pending_feeds: int) -> float:
    """Return the share of a server that its feeds and one more will occupy."""
    if report is None:
        return 0.0
    pledged = report.pledged + (pending_feeds + 1) * report.feed_load / 1e6
    return pledged / max(1, report.slots)


def feed_seconds(report: LoadReport | None, pending_feeds: int) -> float:
    """Return the seconds by which one more feed prolongs a server's requests.

    That is its own requests' time, and the wait that they add to those of the others,
    at a peak of demand.
    """
    service = DEFAULT_SERVICE_SECONDS
    if report is None:
        return service
    service = report.service_ms / 1000 or service
    slots = max(1, report.slots)
    share = PEAK_FACTOR * feed_share(report, pending_feeds)
    wait = _wait(share, slots)
    slope = (_wait(share + SHARE_STEP, slots) - wait) / SHARE_STEP
    return service * (1 + wait + share * slope)


def _wait(share: float, slots: int) -> float:
    """Return the mean wait at a share of use, as a multiple of the service time."""
    power = math.sqrt(2 * (slots + 1)) - 1
    used = min(MAX_SHARE, share)
    wait = used**power / (1 - used) / slots
    return wait + (share - used) / (1 - MAX_SHARE) ** 2


def expected_seconds(report: LoadReport | None, age: float, pending: int) -> float:
    """Return the seconds until a server has completed one more request.

    The server works off its backlog, less what its feeds bring meanwhile, and a request
    that finds no backlog still waits for those of the feeds (an approximation for the
    queue of a server with several slots, Sakasegawa 1977).
    """
    if report is None:
        return DEFAULT_SERVICE_SECONDS
    service = report.service_ms / 1000 or DEFAULT_SERVICE_SECONDS
    slots = max(1, report.slots)
    share = min(MAX_SHARE, report.pledged / slots)
    backlog = report.outstanding * service / slots - age * (1 - share)
    backlog = max(0.0, backlog) + pending * service / slots
    return max(backlog, _wait(share, slots) * service) + service


def choose_mixed(
    candidates: Sequence[AgentEntry],
    habit: Habit,
    data_centre: str,
    board: LoadBoard,
    now: float,
) -> AgentEntry:
    """Return the agent for an opening whose habit is known.

    Parameters
    ----------
    candidates : sequence of AgentEntry
        Agents that accept it, in the order of the flow.
    habit : Habit
        Whether the flow will have one request or many.
    data_centre : str
        Data centre where the flow entered.
    board : LoadBoard
        Load reports of the agents.
    now : float
        Seconds on the monotonic clock.
    """
    if habit is Habit.LONG:
        return _choose_for_feed(candidates, data_centre, board, now)
    return _choose_for_single(candidates, data_centre, board, now)


def _choose_for_feed(
    candidates: Sequence[AgentEntry], data_centre: str, board: LoadBoard, now: float
) -> AgentEntry:
    def seconds_of(agent: AgentEntry) -> float:
        report = board.fresh_report(agent.host, now)
        return feed_seconds(report, board.pending_feeds(agent.host))

    return _choose_near(
        candidates, data_centre, seconds_of, FEED_CHOICES, 0.0, REMOTE_FEED_SECONDS
    )


def _choose_for_single(
    candidates: Sequence[AgentEntry], data_centre: str, board: LoadBoard, now: float
) -> AgentEntry:
    def seconds_of(agent: AgentEntry) -> float:
        return seconds_at(agent, board, now)

    return _choose_near(
        candidates, data_centre, seconds_of, SINGLE_CHOICES, 0.0, REMOTE_SECONDS
    )


def seconds_at(agent: AgentEntry, board: LoadBoard, now: float) -> float:
    """Return the seconds until an agent's server has completed one more request."""
    age = board.report_age(agent.host, now) or 0.0
    report = board.fresh_report(agent.host, now)
    return expected_seconds(report, age, board.pending_openings(agent.host))


def _choose_near(
    candidates: Sequence[AgentEntry],
    data_centre: str,
    cost: Callable[[AgentEntry], float],
    choices: int,
    remote_from: float,
    remote_cost: float,
) -> AgentEntry:
    local = [agent for agent in candidates if agent.data_centre == data_centre]
    remote = [agent for agent in candidates if agent.data_centre != data_centre]
    near = min(local[:choices], key=cost, default=None)
    if near is not None and (not remote or cost(near) < remote_from):
        return near
    far = min(remote[:choices], key=cost)
    if near is None or cost(far) + remote_cost < cost(near):
        return far
    return near
