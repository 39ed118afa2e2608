"""Entry point of the daemons' command, `berylturnd`."""

from __future__ import annotations

import asyncio
import sys

import fire
import uvloop

from .clock import SystemClock
from .errors import BerylturnError

EXIT_FAILED = 1


def run_balancer(settings: str) -> None:
    """Run a balancer until SIGTERM.

    Parameters
    ----------
    settings : str
        Path of the INI file.
    """
    from .process.balancer import Balancer
    from .process.logs import LogWriter
    from .process.settings import BalancerSettings, read_settings

    parsed_settings = read_settings(settings, BalancerSettings)
    clock = SystemClock()
    logs = LogWriter(
        parsed_settings.logs.file,
        parsed_settings.logs.level,
        parsed_settings.node.name,
        clock,
    )

    async def serve() -> None:
        await Balancer(parsed_settings, clock, logs).run()

    uvloop.run(serve())


def run_agent(settings: str) -> None:
    """Run an agent until SIGTERM.

    Parameters
    ----------
    settings : str
        Path of the INI file.
    """
    from .process.agent import Agent
    from .process.logs import LogWriter
    from .process.settings import AgentSettings, read_settings

    parsed_settings = read_settings(settings, AgentSettings)
    clock = SystemClock()
    logs = LogWriter(
        parsed_settings.logs.file,
        parsed_settings.logs.level,
        parsed_settings.node.name,
        clock,
    )

    async def serve() -> None:
        await Agent(parsed_settings, clock, logs).run()

    uvloop.run(serve())


def check_settings(file: str) -> None:
    """Validate a settings file and print the meaning of every key.

    Parameters
    ----------
    file : str
        Path of the INI file.
    """
    from .process.settings import (
        choose_settings_model,
        explain_settings,
        make_key_ring,
        read_sections,
        read_settings,
    )

    parsed_settings = read_settings(file, choose_settings_model(read_sections(file)))
    if hasattr(parsed_settings, "keys"):
        make_key_ring(parsed_settings.keys)
    print("\n".join(explain_settings(parsed_settings)))


def main() -> None:
    """Run the command named on the command line."""
    commands = {
        "balancer": run_balancer,
        "agent": run_agent,
        "check": check_settings,
    }
    try:
        fire.Fire(commands, name="berylturnd")
    except BerylturnError as error:
        print(f"berylturnd: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    except (KeyboardInterrupt, asyncio.CancelledError):
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
