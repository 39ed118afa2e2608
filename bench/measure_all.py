"""Run all measurements and write their table into docs/MEASUREMENTS.md."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import fire

PAGE_PATH = Path(__file__).parent.parent / "docs" / "MEASUREMENTS.md"
TABLE_BEGIN = "<!-- table begins -->"
TABLE_END = "<!-- table ends -->"
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
    """Return shape, scenario and policy of each run; baselines use the first shape."""
    first_shape, *other_shapes = shapes
    runs = [(first_shape, scenario, "product") for scenario in PRODUCT_RUNS]
    for policy, scenarios in BASELINE_RUNS.items():
        runs += [(first_shape, scenario, policy) for scenario in scenarios]
    runs += [
        (shape, scenario, "product")
        for shape in other_shapes
        for scenario in PRODUCT_RUNS
    ]
    return runs


def run_measurement(shape: str, scenario: str, policy: str, seed: int) -> dict:
    """Run one measurement in a separate process and return its results."""
    command = [
        sys.executable,
        "-m",
        "bench.measure",
        f"--shape={shape}",
        f"--scenario={scenario}",
        f"--policy={policy}",
        f"--seed={seed}",
    ]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode != 0:
        run_keys = {"shape": shape, "scenario": scenario, "policy": policy}
        return run_keys | {"broken_flows": "run failed"}
    return json.loads(completed.stdout.splitlines()[-1])


def format_table(rows: list[dict]) -> str:
    """Return the rows as a Markdown table."""
    lines = ["| " + " | ".join(COLUMNS.values()) + " |", "|---" * len(COLUMNS) + "|"]
    for row in rows:
        cells = ["" if row.get(key) is None else str(row.get(key)) for key in COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def write_table(rows: list[dict], seed: int) -> None:
    """Replace the table in the page, and write the seed and the machine above it."""
    text = PAGE_PATH.read_text()
    head, _, rest = text.partition(TABLE_BEGIN)
    _, _, tail = rest.partition(TABLE_END)
    caption = f"One run, seed {seed}, on a machine with {os.cpu_count()} cores."
    PAGE_PATH.write_text(
        f"{head}{TABLE_BEGIN}\n{caption}\n\n{format_table(rows)}\n{TABLE_END}{tail}"
    )


def main(seed: int = 1, shapes: str = "himshell+kalnsetas") -> None:
    """Run all measurements in turn; write the table after each."""
    rows = []
    for shape, scenario, policy in list_runs(tuple(shapes.split("+"))):
        rows.append(run_measurement(shape, scenario, policy, seed))
        print(json.dumps(rows[-1]), flush=True)
        write_table(rows, seed)


if __name__ == "__main__":
    fire.Fire(main)
