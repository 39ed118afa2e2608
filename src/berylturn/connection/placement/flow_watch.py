"""What an agent learns from the flows of its server: their habits and their pledges.

Load pattern: feeds that stay open for many requests, and flows of one request each, go
to the same servers.
"""

from __future__ import annotations

from typing import Protocol

from .flow_habits import Habit, HabitBook, RequestMix
from .flow_pledges import FlowPledges


class WatchedFlow(Protocol):
    """What is read and marked on a flow."""

    requests: int
    admitted_at: float | None
    is_feed: bool


class FlowWatch:
    """Learn from the flows of one server.

    Attributes
    ----------
    habits : HabitBook
        Habits of the routes.
    mix : RequestMix
        Part of the requests that had a flow of their own.
    pledges : FlowPledges
        Open feeds and the rate of their requests.
    """

    def __init__(self) -> None:
        self.habits = HabitBook()
        self.mix = RequestMix()
        self.pledges = FlowPledges()

    def on_admitted(self, key: bytes, flow: WatchedFlow, now: float) -> None:
        """Count an admitted flow as a feed if its route's flows are feeds."""
        if self.habits.habit_of(key) is Habit.LONG:
            self._mark_feed(flow, now)

    def on_request(self, key: bytes, flow: WatchedFlow, now: float) -> None:
        """Learn from a request; a flow that was found open has had others before."""
        earlier = flow.requests - (flow.admitted_at is not None)
        if earlier == 1:
            self.habits.record(key, Habit.LONG)
            self._mark_feed(flow, now)
        if earlier >= 1:
            self.mix.record(Habit.LONG)
        if flow.is_feed:
            self.pledges.record_request(now)

    def on_closed(self, key: bytes, flow: WatchedFlow, now: float) -> None:
        """Learn from a flow that both ends have closed."""
        if flow.requests == 1 and flow.admitted_at is not None:
            self.habits.record(key, Habit.SINGLE)
            self.mix.record(Habit.SINGLE)
        self.on_gone(flow, now)

    def on_gone(self, flow: WatchedFlow, now: float) -> None:
        """Stop counting a flow as a feed."""
        if flow.is_feed:
            flow.is_feed = False
            self.pledges.change_open(-1, now)

    def _mark_feed(self, flow: WatchedFlow, now: float) -> None:
        if not flow.is_feed:
            flow.is_feed = True
            self.pledges.change_open(1, now)
