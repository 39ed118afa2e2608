"""Run all tests with nose2 and print a summary line.

Failures that KNOWN-RED.txt lists are printed and do not fail the run.
"""

from __future__ import annotations

import sys
from pathlib import Path

import nose2
from nose2.events import Plugin, TestOutcomeEvent

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


class Outcomes(Plugin):
    """Collect the names of the tests by outcome."""

    alwaysOn = True  # noqa: N815
    passed: set[str] = set()
    failed: set[str] = set()

    def testOutcome(self, event: TestOutcomeEvent) -> None:  # noqa: N802
        """Record the outcome of one test."""
        name = event.test.id().split("\n")[0]
        (self.passed if event.outcome == "passed" else self.failed).add(name)


def read_known_red() -> set[str]:
    """Return the test names on the ``test:`` lines of KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    }


def main() -> None:
    """Run the tests named on the command line, or all."""
    nose2.discover(
        exit=False,
        argv=["nose2", "-v", *sys.argv[1:]],
        extraHooks=[],
        plugins=["tests.__main__"],
    )
    # nose2 imports this module a second time and records the outcomes there.
    from tests.__main__ import Outcomes as LoadedOutcomes

    known_failures = LoadedOutcomes.failed & read_known_red()
    failed = LoadedOutcomes.failed - known_failures
    for name in sorted(known_failures):
        print(f"known red: {name}")
    print(f"{len(LoadedOutcomes.passed)} passed, {len(failed)} failed", flush=True)
    sys.exit(1 if failed or not LoadedOutcomes.passed else 0)


if __name__ == "__main__":
    main()
