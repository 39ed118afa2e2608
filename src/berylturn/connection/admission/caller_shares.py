"""Shares of callers in the room of one server, while openings wait for it.

Load pattern: for minutes, callers ask for more than the servers can process, and one of
them for many times its share. Ordered by deadline alone, it gets what it asks for in
proportion, and each of the others gets less than its share. So each caller has a
virtual clock that runs ahead of time by what it was given (Zhang, 1990): an opening
queues as if it had come when its caller's share allowed it. A caller that is refused
and comes back at once pays a part of an opening each time.
"""

from __future__ import annotations

# Entries of 180 bytes; at the target size 9 openings a second reach one agent.
MAX_CALLERS = 1_024
# Callers that have asked within this time share the server.
ACTIVE_SECONDS = 5.0
# Openings that a caller may be ahead of its share: those of many callers reach one
# server at random.
BURST_OPENINGS = 2.0
# Openings by which a clock may be ahead in all: a caller that stops asking too much is
# on a par with the others again after two openings of its share.
MAX_OPENINGS_AHEAD = 5.0
# Part of an opening that a refused one costs its caller.
REFUSAL_COST = 0.02


class CallerShares:
    """Keep the virtual clock of each caller that asked lately.

    A caller is told apart by its address.
    """

    def __init__(self) -> None:
        # Virtual clock and time of the last opening, the latest asker last.
        self._clocks: dict[bytes, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._clocks)

    def lead_seconds(
        self, caller: bytes, seconds_per_opening: float, now: float
    ) -> float:
        """Return by how much a caller is ahead of its share and of a burst.

        Parameters
        ----------
        caller : bytes
            Address of the caller.
        seconds_per_opening : float
            Mean seconds between two openings that the server can process.
        now : float
            Seconds on the monotonic clock.
        """
        clock, _ = self._clocks.get(caller, (now, now))
        burst = BURST_OPENINGS * self._share_seconds(seconds_per_opening)
        return max(0.0, clock - now - burst)

    def record(self, caller: bytes, now: float) -> None:
        """Record that a caller asks for an opening."""
        clock, _ = self._clocks.pop(caller, (now, now))
        self._clocks[caller] = (clock, now)
        self._forget(now)

    def charge(
        self, caller: bytes, openings: float, seconds_per_opening: float, now: float
    ) -> None:
        """Charge a caller for openings; a negative number takes back a charge.

        Parameters
        ----------
        caller : bytes
            Address of the caller.
        openings : float
            Number of openings.
        seconds_per_opening : float
            Mean seconds between two openings that the server can process.
        now : float
            Seconds on the monotonic clock.
        """
        if caller not in self._clocks:
            return
        clock, asked_at = self._clocks[caller]
        share_seconds = self._share_seconds(seconds_per_opening)
        clock = max(now, clock) + openings * share_seconds
        latest = now + MAX_OPENINGS_AHEAD * share_seconds
        self._clocks[caller] = (min(clock, latest), asked_at)

    def count_ahead(self, seconds_per_opening: float, now: float) -> int:
        """Return the number of callers that are ahead of their share and of a burst."""
        burst = BURST_OPENINGS * self._share_seconds(seconds_per_opening)
        return sum(clock - now > burst for clock, _ in self._clocks.values())

    def _share_seconds(self, seconds_per_opening: float) -> float:
        """Return the seconds between two openings of a caller's share."""
        return len(self._clocks) * seconds_per_opening

    def _forget(self, now: float) -> None:
        """Drop callers that have not asked lately, and the oldest beyond the bound."""
        while self._clocks:
            oldest, (_, asked_at) = next(iter(self._clocks.items()))
            if now - asked_at <= ACTIVE_SECONDS and len(self._clocks) <= MAX_CALLERS:
                break
            del self._clocks[oldest]
