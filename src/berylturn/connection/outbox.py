"""Collect an agent's effects and choose the balancer that forwards each packet."""

from __future__ import annotations

from collections import Counter

from .effects import Effect, SendToCaller
from .flow import Flow
from .packets import Packet, encode_packet

Address = tuple[str, int]

SILENT_SECONDS = 1.5
LIVE_REFRESH_SECONDS = 0.25
FORGET_SECONDS = 60.0


class Outbox:
    """Hold effects and counters until the owner of the sockets pops them."""

    def __init__(self) -> None:
        self._effects: list[Effect] = []
        self._counters: Counter[str] = Counter()
        self._last_packet_at: dict[Address, float] = {}
        self._live: list[Address] = []
        self._live_valid_until = 0.0
        self._rotation = 0

    def pop_effects(self) -> list[Effect]:
        """Return and clear the effects since the last call."""
        effects, self._effects = self._effects, []
        return effects

    def pop_counters(self) -> Counter[str]:
        """Return and clear the counters since the last call."""
        counters, self._counters = self._counters, Counter()
        return counters

    def add(self, effect: Effect) -> None:
        """Add one effect."""
        self._effects.append(effect)

    def count(self, name: str) -> None:
        """Add one to a counter."""
        self._counters[name] += 1

    def record_balancer_packet(self, balancer: Address, now: float) -> None:
        """Record that a balancer delivered a packet."""
        self._last_packet_at[balancer] = now

    def forget_silent_balancers(self, now: float) -> None:
        """Drop the balancers that sent nothing for `FORGET_SECONDS`."""
        last_packet_at = self._last_packet_at
        for address in [
            a for a, t in last_packet_at.items() if now - t > FORGET_SECONDS
        ]:
            del last_packet_at[address]

    def reply(self, caller: Address, balancer: Address, packet: Packet) -> None:
        """Send a packet to a caller through a given balancer."""
        self._effects.append(SendToCaller(caller, balancer, encode_packet(packet)))

    def send(self, flow: Flow, packet: Packet, now: float) -> None:
        """Send through the flow's balancer, or a live one when that one is silent."""
        self.reply(flow.caller, self._choose_balancer(flow.balancer, now), packet)

    def send_round_robin(
        self, flow: Flow, packet: Packet, now: float, rotation: int | None = None
    ) -> None:
        """Send through the live balancers, one after another.

        If a balancer has just failed, the caller notices the missing item when the
        next one arrives through another balancer, and not only after its own next
        packet goes through another balancer.

        Parameters
        ----------
        rotation : int or None
            Position in the rotation, counted within one stream: with one count for
            all streams and as many streams as balancers, every item of a stream
            would go through the same balancer. None uses the count for all streams,
            which is enough for packets that are repeated.
        """
        if rotation is None:
            self._rotation += 1
            rotation = self._rotation
        live = self._live_balancers(now)
        balancer = live[rotation % len(live)] if live else flow.balancer
        self.reply(flow.caller, balancer, packet)

    def _live_balancers(self, now: float) -> list[Address]:
        if now >= self._live_valid_until:
            self._live_valid_until = now + LIVE_REFRESH_SECONDS
            self._live = [
                a for a, t in self._last_packet_at.items() if now - t < SILENT_SECONDS
            ]
        return self._live

    def _choose_balancer(self, preferred: Address, now: float) -> Address:
        last_packet_at = self._last_packet_at
        if now - last_packet_at.get(preferred, now) <= SILENT_SECONDS:
            return preferred
        latest = max(last_packet_at, key=last_packet_at.__getitem__)
        return latest if now - last_packet_at[latest] <= SILENT_SECONDS else preferred
