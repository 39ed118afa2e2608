"""Run the whole table of measurements and write it into docs/MEASUREMENTS.md."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import fire

PAGE = Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
BEGIN = "<!-- table begins -->"
END = "<!-- table ends -->"
COLUMNS = {
    "shape": "shape",
    "scenario": "scenario",
    "policy": "policy",
    "broken_flows": "broken",
    "offered": "offered",
    "answered_in_time": "in time",
    "in_time_elsewhere": "in time elsewhere",
    "refused_not_run": "not run",
    "unknown": "unknown",
    "false_not_run": "false not run",
    "lost": "lost",
    "doubled": "doubled",
    "crossed": "crossed",
    "cold_overload": "cold overload",
    "imbalance": "imbalance",
    "imbalance_of_run": "of the run",
    "p50_ms": "p50 ms",
    "p99_ms": "p99 ms",
    "longest_stream_gap_ms": "stream gap ms",
    "config_in_force_s": "config s",
    "late_packets_to_out_dc": "late packets",
}
PRODUCT_RUNS = [
    "steady",
    "drain",
    "rolling",
    "balancer-kill",
    "agent-kill",
    "cold",
    "dc-out-and-back",
    "overload",
    "platform-outage",
    "long-outage",
    "silent",
    "mixed",
    "faults",
]
BASELINE_RUNS = {
    "no-passing": ["steady"],
    "two-choices": ["steady"],
    "least-running": ["steady"],
    "random": ["steady"],
    "round-robin": ["steady"],
    "least-local": ["steady"],
    "hash-no-token": ["steady", "drain"],
}


def list_runs(shapes: tuple[str, ...]) -> list[tuple[str, str, str]]:
    """Return (shape, scenario, policy) of every run; baselines on the first shape."""
    first, *others = shapes
    runs = [(first, scenario, "product") for scenario in PRODUCT_RUNS]
    for policy, scenarios in BASELINE_RUNS.items():
        runs += [(first, scenario, policy) for scenario in scenarios]
    runs += [(s, scenario, "product") for s in others for scenario in PRODUCT_RUNS]
    return runs


def run_one(shape: str, scenario: str, policy: str, seed: int) -> dict:
    """Run one measurement in a process of its own; return its figures."""
    command = [
        sys.executable,
        "-m",
        "bench.measure",
        f"--shape={shape}",
        f"--scenario={scenario}",
        f"--policy={policy}",
        f"--seed={seed}",
    ]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode != 0:
        failed = {"shape": shape, "scenario": scenario, "policy": policy}
        return failed | {"broken_flows": "run failed"}
    return json.loads(done.stdout.splitlines()[-1])


def format_table(rows: list[dict]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| " + " | ".join(COLUMNS.values()) + " |", "|---" * len(COLUMNS) + "|"]
    for row in rows:
        cells = ["" if row.get(k) is None else str(row.get(k)) for k in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_page(rows: list[dict], seed: int) -> None:
    """Replace the table of the page."""
    text = PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    note = f"One run, seed {seed}, on a machine with {os.cpu_count()} cores."
    PAGE.write_text(f"{head}{BEGIN}\n{note}\n\n{format_table(rows)}\n{END}{tail}")


def main(seed: int = 1, shapes: str = "himshell+kalnsetas") -> None:
    """Run everything, one after another, and write the page."""
    rows = []
    for shape, scenario, policy in list_runs(tuple(shapes.split("+"))):
        rows.append(run_one(shape, scenario, policy, seed))
        print(json.dumps(rows[-1]), flush=True)
        write_page(rows, seed)


if __name__ == "__main__":
    fire.Fire(main)
