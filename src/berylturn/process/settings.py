"""Settings files: INI text, validated before anything starts."""

from __future__ import annotations

import configparser
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from ..connection.keys import KeyRing, parse_key
from ..errors import SettingsError

Address = tuple[str, int]


def parse_address(text: str) -> Address:
    """Read ``IP:PORT``."""
    host, _, port = str(text).strip().rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{text!r} is not IP:PORT")
    return host, int(port)


def parse_addresses(text: str) -> list[Address]:
    """Read ``IP:PORT`` items separated by commas."""
    return [parse_address(part) for part in str(text).split(",") if part.strip()]


def parse_duration(text: str) -> timedelta:
    """Read a number with its unit: ``250ms``, ``2s`` or ``5m``."""
    units = {"ms": 0.001, "s": 1.0, "m": 60.0}
    value = str(text).strip()
    number = value.rstrip("ms")
    unit = value[len(number) :]
    try:
        return timedelta(seconds=float(number) * units[unit])
    except (ValueError, KeyError):
        raise ValueError(f"{text!r} is not a time; write 250ms, 2s or 5m") from None


AddressField = Annotated[Address, BeforeValidator(parse_address)]
AddressesField = Annotated[list[Address], BeforeValidator(parse_addresses)]
DurationField = Annotated[timedelta, BeforeValidator(parse_duration)]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSection(_Section):
    """Who this process is."""

    name: str = Field(min_length=1, max_length=63, description="unique name")
    data_centre: str = Field(min_length=1, max_length=63, description="data centre")


class KeysSection(_Section):
    """Secrets shared by all daemons."""

    current: str = Field(description="ID:HEX of the key that signs")
    previous: str = Field("", description="ID:HEX of a key still accepted")


class PlatformSection(_Section):
    """The platform's object API."""

    url: str = Field(description="http://IP:PORT of the object API")
    timeout: DurationField = Field(
        timedelta(seconds=8), description="longest wait for an answer"
    )
    watch: DurationField = Field(
        timedelta(seconds=30), description="length of one waiting watch"
    )


class LogsSection(_Section):
    """JSON-line logs."""

    file: str = Field("-", description="path, or - for standard output")
    level: str = Field("INFO", description="DEBUG, INFO, WARNING or ERROR")


class MetricsSection(_Section):
    """Metrics by statsd."""

    statsd: AddressField | None = Field(None, description="IP:PORT; off without it")


class PeersSection(_Section):
    """Where to find the first balancers."""

    seeds: AddressesField = Field(
        default_factory=list, description="IP:PORT of some balancers' peer sockets"
    )


class TlsSection(_Section):
    """Certificates of the control service."""

    certificate: str = Field("", description="PEM file of the certificate chain")
    key: str = Field("", description="PEM file of the private key")
    authority: str = Field("", description="PEM file of the authority of the peers")


class BalancerListenSection(_Section):
    """Sockets of a balancer."""

    callers: AddressField = Field(description="IP:PORT for packets from the fabric")
    peers: AddressField = Field(description="IP:PORT for frames of other daemons")
    control: AddressField = Field(description="IP:PORT of the control service")
    advertise: AddressField | None = Field(
        None, description="IP:PORT that others use for `peers`, if different"
    )


class FabricSection(_Section):
    """The fabric in front of the balancers."""

    control: AddressField | None = Field(
        None, description="IP:PORT that takes announcements of this entry host"
    )
    period: DurationField = Field(
        timedelta(milliseconds=300), description="time between announcements"
    )


class AgentListenSection(_Section):
    """Socket of an agent."""

    peers: AddressField = Field(description="IP:PORT for frames of other daemons")
    advertise: AddressField | None = Field(
        None, description="IP:PORT that others use for `peers`, if different"
    )


class BackendSection(_Section):
    """The backend server beside the agent."""

    url: str = Field(description="http://IP:PORT of the backend server")
    connect_timeout: DurationField = Field(
        timedelta(milliseconds=500), description="longest wait for a connection"
    )
    idle: DurationField = Field(
        timedelta(seconds=60), description="an unused connection is closed after this"
    )


class AgentSection(_Section):
    """Periods and bounds of an agent."""

    announce: DurationField = Field(
        timedelta(seconds=1), description="time between announcements"
    )
    digest: DurationField = Field(
        timedelta(milliseconds=250), description="time between load digests"
    )
    queue: int = Field(32, ge=0, le=10_000, description="requests that may wait")
    flow_idle: DurationField = Field(
        timedelta(seconds=30), description="a silent flow is closed after this"
    )
    stop: Literal["hand-over", "drain"] = Field(
        "hand-over", description="planned stop: hand flows to a successor, or drain"
    )
    takeover: DurationField = Field(
        timedelta(0), description="longest wait for a predecessor to free the port"
    )
    drain_limit: DurationField = Field(
        timedelta(seconds=60), description="longest wait for flows at a planned stop"
    )


class BalancerSettings(_Section):
    """All settings of a balancer."""

    node: NodeSection
    listen: BalancerListenSection
    platform: PlatformSection
    keys: KeysSection
    fabric: FabricSection = FabricSection()
    peers: PeersSection = PeersSection()
    logs: LogsSection = LogsSection()
    metrics: MetricsSection = MetricsSection()
    tls: TlsSection = TlsSection()


class AgentSettings(_Section):
    """All settings of an agent."""

    node: NodeSection
    listen: AgentListenSection
    backend: BackendSection
    platform: PlatformSection
    keys: KeysSection
    agent: AgentSection = AgentSection()
    peers: PeersSection = PeersSection()
    logs: LogsSection = LogsSection()
    metrics: MetricsSection = MetricsSection()


def read_settings(path: str, model: type[BaseModel]) -> Any:
    """Return the validated settings in an INI file or raise `SettingsError`."""
    sections = read_sections(path)
    try:
        return model.model_validate(sections)
    except ValidationError as error:
        problems = "; ".join(_explain_problem(item) for item in error.errors())
        raise SettingsError(f"{path}: {problems}") from error


def read_sections(path: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI file as plain text."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}; check the path") from error
    except configparser.Error as error:
        raise SettingsError(f"{path} is not INI text: {error.message}") from error
    return {name: dict(parser[name]) for name in parser.sections()}


def guess_model(sections: dict[str, dict[str, str]]) -> type[BaseModel]:
    """Return the model that fits the sections of a file."""
    return AgentSettings if "backend" in sections else BalancerSettings


def make_key_ring(section: KeysSection) -> KeyRing:
    """Return the key ring that a settings file describes."""
    previous = parse_key(section.previous) if section.previous else None
    return KeyRing(parse_key(section.current), previous)


def explain_settings(settings: BaseModel) -> list[str]:
    """Return one line for each key: its value and its meaning."""
    lines = []
    for section_name in type(settings).model_fields:
        section = getattr(settings, section_name)
        lines.append(f"[{section_name}]")
        for key, info in type(section).model_fields.items():
            value = "(secret)" if section_name == "keys" else getattr(section, key)
            lines.append(f"  {key} = {value}  ; {info.description}")
    return lines


def _explain_problem(item: dict[str, Any]) -> str:
    where = ".".join(str(part) for part in item["loc"])
    if item["type"] == "extra_forbidden":
        return f"{where}: unknown key; remove it or see the sample file"
    if item["type"] == "missing":
        return f"{where}: missing; add it"
    return f"{where}: {item['msg']}"
