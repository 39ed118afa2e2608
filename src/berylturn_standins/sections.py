"""Settings of the daemons of a deployment, as sections of an INI file."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from .plan import BalancerPlan, ServerPlan
from .ports import HOST

KEY = "1:000102030405060708090a0b0c0d0e0f"

Sections = dict[str, dict[str, str]]


@dataclass(frozen=True)
class SharedSettings:
    """Settings that are the same for all daemons of a deployment.

    Attributes
    ----------
    seeds : str
        Addresses of balancers that a new daemon contacts first, separated by commas.
    log_folder : Path
        Folder of the log files.
    """

    platform_url: str
    seeds: str
    log_folder: Path


def describe_balancer(
    plan: BalancerPlan, ports: dict[str, int], fabric_port: int, shared: SharedSettings
) -> Sections:
    """Return the settings of a balancer."""
    return {
        "node": {"name": plan.name, "data_centre": plan.data_centre},
        "listen": {key: f"{HOST}:{port}" for key, port in ports.items()},
        "fabric": {"control": f"{HOST}:{fabric_port}"},
        **_common_sections(plan.name, shared),
    }


def describe_agent(
    plan: ServerPlan,
    ports: dict[str, int],
    backend_port: int,
    options: dict[str, str],
    shared: SharedSettings,
) -> Sections:
    """Return the settings of an agent; `options` are keys of its section ``agent``."""
    return {
        "node": {"name": plan.name, "data_centre": plan.data_centre},
        "listen": {key: f"{HOST}:{port}" for key, port in ports.items()},
        "backend": {"url": f"http://{HOST}:{backend_port}"},
        "agent": {"announce": "300ms", **options},
        **_common_sections(f"{plan.name}-agent", shared),
    }


def _common_sections(name: str, shared: SharedSettings) -> Sections:
    return {
        "platform": {"url": shared.platform_url},
        "keys": {"current": KEY},
        "peers": {"seeds": shared.seeds},
        "logs": {"file": str(shared.log_folder / f"{name}.log")},
    }
