"""Settings of the daemons of a deployment, as sections of an INI file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from .plan import BalancerPlan, ServerPlan
from .ports import HOST

KEY = "1:000102030405060708090a0b0c0d0e0f"

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class Surroundings:
    """What all daemons of a deployment are told.

    Attributes
    ----------
    seeds : str
        Addresses of balancers, separated by commas.
    folder : Path
        Where the logs go.
    """

    platform_url: str
    seeds: str
    folder: Path


def describe_balancer(
    plan: BalancerPlan, ports: dict[str, int], fabric: int, around: Surroundings
) -> Sections:
    """Return the settings of a balancer."""
    return {
        "node": {"name": plan.name, "data_centre": plan.data_centre},
        "listen": {key: f"{HOST}:{port}" for key, port in ports.items()},
        "fabric": {"control": f"{HOST}:{fabric}"},
        **_common_sections(plan.name, around),
    }


def describe_agent(
    plan: ServerPlan,
    ports: dict[str, int],
    backend: int,
    options: dict[str, str],
    around: Surroundings,
) -> Sections:
    """Return the settings of an agent; `options` go into its own section."""
    return {
        "node": {"name": plan.name, "data_centre": plan.data_centre},
        "listen": {key: f"{HOST}:{port}" for key, port in ports.items()},
        "backend": {"url": f"http://{HOST}:{backend}"},
        "agent": {"announce": "300ms", **options},
        **_common_sections(f"{plan.name}-agent", around),
    }


def _common_sections(name: str, around: Surroundings) -> Sections:
    return {
        "platform": {"url": around.platform_url},
        "keys": {"current": KEY},
        "peers": {"seeds": around.seeds},
        "logs": {"file": str(around.folder / f"{name}.log")},
    }
