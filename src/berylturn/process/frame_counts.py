"""Count the frames that a node sends to others, by kind and way."""

from __future__ import annotations

from collections import Counter

from .metrics import Metrics

# Headers of IP and UDP, which each frame has in addition.
HEADER_BYTES = 28


class FrameCounts:
    """Count frames and bytes that stay in the data centre or leave it.

    Parameters
    ----------
    metrics : Metrics
        Counts the frames for the metrics page as well.
    data_centre : str
        Data centre of this node.
    """

    def __init__(self, metrics: Metrics, data_centre: str) -> None:
        self._metrics = metrics
        self._data_centre = data_centre
        self._data_centres: dict[str, str] = {}
        self._recent: Counter[str] = Counter()

    def set_data_centre(self, host: str, data_centre: str) -> None:
        """Set the data centre of another node by its IP address."""
        self._data_centres[host] = data_centre

    def keep_only(self, hosts: set[str]) -> None:
        """Forget the nodes that are not among some IP addresses."""
        for host in self._data_centres.keys() - hosts:
            del self._data_centres[host]

    def record(self, kind: str, host: str, size: int) -> None:
        """Count one frame of `size` bytes to an IP address."""
        data_centre = self._data_centres.get(host)
        way = "near" if data_centre in (None, self._data_centre) else "far"
        name = f"frames.{kind.lower()}.{way}"
        self._metrics.count(name)
        self._metrics.count(f"{name}.bytes", size + HEADER_BYTES)
        self._recent[f"{kind}.{way}"] += 1
        self._recent[f"{kind}.{way}.bytes"] += size + HEADER_BYTES

    def pop_recent(self) -> dict[str, int]:
        """Return the counts since the last call."""
        recent, self._recent = self._recent, Counter()
        return dict(recent)
