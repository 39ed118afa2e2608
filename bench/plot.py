"""Plot the load of each server, refusals and broken flows over time."""

from __future__ import annotations

from dataclasses import dataclass, field

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


@dataclass
class Timeline:
    """Measurements of each second of a run.

    Attributes
    ----------
    busy : list of dict of str to float
        Busy share of the slots of each server.
    refused, broken : list of int
        Refused requests and broken flows since the start of the run.
    """

    busy: list[dict[str, float]] = field(default_factory=list)
    refused: list[int] = field(default_factory=list)
    broken: list[int] = field(default_factory=list)


def draw_timeline(timeline: Timeline, title: str, path: str) -> None:
    """Write a plot of a run to `path`."""
    figure, (upper, lower) = pyplot.subplots(2, 1, sharex=True, figsize=(9, 6))
    seconds = range(1, len(timeline.busy) + 1)
    names = sorted({name for window in timeline.busy for name in window})
    for name in names:
        shares = [window.get(name, 0.0) for window in timeline.busy]
        upper.plot(seconds, shares, label=name)
    upper.set_ylabel("busy share of slots")
    upper.set_title(title)
    upper.legend(fontsize="x-small", ncol=2)
    lower.plot(seconds, _differences(timeline.refused), label="refused, per second")
    lower.plot(seconds, _differences(timeline.broken), label="broken flows, per second")
    lower.set_xlabel("seconds")
    lower.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _differences(totals: list[int]) -> list[int]:
    return [
        total - previous for previous, total in zip([0, *totals], totals, strict=False)
    ]
