"""Run all tests with nose2 and print the closing line.

Failures that KNOWN-RED.txt names are printed and do not fail the run.
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
        """Note the outcome of one test."""
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
    from tests.__main__ import Outcomes as Loaded

    red = Loaded.failed & read_known_red()
    failed = Loaded.failed - red
    for name in sorted(red):
        print(f"known red: {name}")
    print(f"{len(Loaded.passed)} passed, {len(failed)} failed", flush=True)
    sys.exit(1 if failed or not Loaded.passed else 0)


if __name__ == "__main__":
    main()
