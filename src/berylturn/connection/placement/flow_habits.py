"""Whether the flows of a route have one request or many, learned from the flows.

Load pattern: feeds that stay open for many requests, and flows of one request each, go
to the same servers. A flow of one request is best placed by what the servers do now,
and a feed by what they will do for as long as it lasts, so the kind must be known
before the flow's first request.
"""

from __future__ import annotations

from enum import IntEnum

from ...version.routes import RouteTable, service_address

# Routes of which the habit is kept, about 200 bytes each.
MAX_ROUTES = 256
# Weight of the newest flow in a route's share of long flows.
FLOW_WEIGHT = 1 / 32
# Weight of the newest request in the share of requests that had a flow of their own.
REQUEST_WEIGHT = 1 / 200
# A server's flows are mixed if each habit brings at least this share of its requests,
# and at least this many of them have been seen.
MIN_SHARE = 0.1
MIN_REQUESTS = 5


class Habit(IntEnum):
    """How many requests a flow has."""

    UNKNOWN = 0
    SINGLE = 1
    LONG = 2


class HabitBook:
    """Store the habit of each route, by packed address and port.

    A node that has just started knows none and takes over what other nodes tell it;
    what it has seen itself counts more.
    """

    def __init__(self) -> None:
        self._seen: dict[bytes, tuple[int, float]] = {}
        self._told: dict[bytes, Habit] = {}

    def habit_of(self, flow: bytes) -> Habit:
        """Return the habit of a flow's route."""
        route = service_address(flow)
        seen = self._seen.get(route)
        if seen is None:
            return self._told.get(route, Habit.UNKNOWN)
        return Habit.LONG if seen[1] >= 0.5 else Habit.SINGLE

    def record(self, flow: bytes, habit: Habit) -> None:
        """Record a flow that ended after one request, or made a second one."""
        route = service_address(flow)
        flows, share = self._seen.pop(route, (0, 0.0))
        weight = max(FLOW_WEIGHT, 1 / (flows + 1))
        share += weight * ((habit is Habit.LONG) - share)
        self._seen[route] = (flows + 1, share)
        _keep_newest(self._seen)

    def adopt(self, flow: bytes, habit: int) -> None:
        """Take over what another node knows of a flow's route."""
        if habit not in (Habit.SINGLE, Habit.LONG):
            return
        route = service_address(flow)
        self._told.pop(route, None)
        self._told[route] = Habit(habit)
        _keep_newest(self._told)

    def keep_only(self, table: RouteTable) -> None:
        """Remove routes that are no longer in force."""
        for book in (self._seen, self._told):
            for route in book.keys() - table.routes.keys():
                del book[route]


class RequestMix:
    """Measure which part of a server's requests had a flow of their own."""

    def __init__(self) -> None:
        self._counts = {Habit.SINGLE: 0, Habit.LONG: 0}
        self._single_share = 0.0

    @property
    def single_share(self) -> float:
        """Return the share of the requests that had a flow of their own."""
        return self._single_share

    @property
    def is_mixed(self) -> bool:
        """Tell whether both habits bring a part of the requests that counts."""
        return (
            min(self._counts.values()) >= MIN_REQUESTS
            and MIN_SHARE <= self._single_share <= 1 - MIN_SHARE
        )

    def record(self, habit: Habit) -> None:
        """Record a request, once it is known which kind its flow is."""
        requests = sum(self._counts.values())
        weight = max(REQUEST_WEIGHT, 1 / (requests + 1))
        self._single_share += weight * ((habit is Habit.SINGLE) - self._single_share)
        self._counts[habit] += 1


def _keep_newest(book: dict[bytes, object]) -> None:
    if len(book) > MAX_ROUTES:
        del book[next(iter(book))]
