"""Settings files: INI text, validated before a daemon opens any socket.

msgspec validates them instead of pydantic, which would take 11 MB of the 32 MB that a
daemon may use (docs/CAPACITY.md).
"""

from __future__ import annotations

import configparser
import re
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Annotated, Any, Literal, get_type_hints

import msgspec
from msgspec import Meta

from ..connection.keys import KeyRing, parse_key
from ..errors import SettingsError

Address = tuple[str, int]
Name = Annotated[
    str, Meta(min_length=1, max_length=63, description="unique name of the node")
]


class _Section(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all sections."""


class NodeSection(_Section):
    """Identity of this process."""

    name: Name
    data_centre: Annotated[
        str, Meta(min_length=1, max_length=63, description="data centre of the node")
    ]


class KeysSection(_Section):
    """Secrets shared by all daemons."""

    current: Annotated[str, Meta(description="ID:HEX of the key that signs")]
    previous: Annotated[
        str, Meta(description="ID:HEX of an older key that is still accepted")
    ] = ""


class PlatformSection(_Section):
    """The platform's object API."""

    url: Annotated[str, Meta(description="http://IP:PORT of the object API")]
    timeout: Annotated[timedelta, Meta(description="timeout of a request")] = timedelta(
        seconds=8
    )
    watch: Annotated[
        timedelta, Meta(description="longest time a watch request stays open")
    ] = timedelta(seconds=30)
    terms: Annotated[
        list[str], Meta(description="names of the platform's terms that are in force")
    ] = msgspec.field(default_factory=list)


class LogsSection(_Section):
    """Logs in JSON lines."""

    file: Annotated[str, Meta(description="path, or - for standard output")] = "-"
    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="least severe level that is written"),
    ] = "INFO"


class MetricsSection(_Section):
    """Metrics: sent to statsd and served as a text page."""

    statsd: Annotated[
        Address | None,
        Meta(description="IP:PORT of the statsd server; none is used without it"),
    ] = None
    listen: Annotated[
        Address | None,
        Meta(description="IP:PORT of the text page; not served without it"),
    ] = None


class PeersSection(_Section):
    """Balancers that a new node contacts first."""

    seeds: Annotated[
        list[Address], Meta(description="IP:PORT of some balancers' peer sockets")
    ] = msgspec.field(default_factory=list)


class TlsSection(_Section):
    """Certificates of the control service."""

    certificate: Annotated[str, Meta(description="PEM file of the certificate")] = ""
    key: Annotated[str, Meta(description="PEM file of the private key")] = ""
    authority: Annotated[
        str,
        Meta(description="PEM file of the authority that signs peers' certificates"),
    ] = ""


class BalancerListenSection(_Section):
    """Sockets of a balancer."""

    callers: Annotated[Address, Meta(description="IP:PORT for packets from the fabric")]
    peers: Annotated[Address, Meta(description="IP:PORT for frames of other daemons")]
    control: Annotated[Address, Meta(description="IP:PORT of the control service")]
    advertise: Annotated[
        Address | None, Meta(description="IP:PORT that others use, if different")
    ] = None


class FabricSection(_Section):
    """Network fabric in front of the balancers."""

    control: Annotated[
        Address | None, Meta(description="IP:PORT that receives announcements")
    ] = None
    period: Annotated[timedelta, Meta(description="time between announcements")] = (
        timedelta(milliseconds=300)
    )


class AgentListenSection(_Section):
    """Socket of an agent."""

    peers: Annotated[Address, Meta(description="IP:PORT for frames of other daemons")]
    advertise: Annotated[
        Address | None, Meta(description="IP:PORT that others use, if different")
    ] = None


class BackendSection(_Section):
    """Backend server beside the agent."""

    url: Annotated[str, Meta(description="http://IP:PORT of the backend server")]
    connect_timeout: Annotated[
        timedelta, Meta(description="timeout of a connection attempt")
    ] = timedelta(milliseconds=500)
    idle: Annotated[
        timedelta, Meta(description="time after which an unused connection is closed")
    ] = timedelta(seconds=60)


class AgentSection(_Section):
    """Intervals and limits of an agent."""

    announce: Annotated[timedelta, Meta(description="time between announcements")] = (
        timedelta(seconds=1)
    )
    digest: Annotated[timedelta, Meta(description="time between load digests")] = (
        timedelta(milliseconds=250)
    )
    queue: Annotated[
        int, Meta(ge=0, le=10_000, description="largest number of queued requests")
    ] = 32
    flow_idle: Annotated[
        timedelta, Meta(description="time after which a flow without packets is closed")
    ] = timedelta(seconds=30)
    stop: Annotated[
        Literal["hand-over", "drain"],
        Meta(description="planned stop: hand flows to a successor, or drain"),
    ] = "hand-over"
    takeover: Annotated[
        timedelta,
        Meta(description="longest wait until the previous process frees the port"),
    ] = timedelta(0)
    drain_limit: Annotated[
        timedelta, Meta(description="longest wait for flows to end at a planned stop")
    ] = timedelta(seconds=60)


class PassthroughSection(_Section):
    """Sockets and limits of a daemon for passthrough flows."""

    host: Annotated[str, Meta(description="IP address of this host")]
    packets: Annotated[
        Address,
        Meta(description="IP:PORT for callers' packets; callers use the same port"),
    ]
    ready: Annotated[
        Address, Meta(description="IP:PORT for the routers' readiness probes")
    ]
    heartbeats: Annotated[
        Address, Meta(description="IP:PORT for the backend server's heartbeats")
    ]
    peer_port: Annotated[
        int,
        Meta(
            ge=1, le=65_535, description="port for other daemons; the same on all hosts"
        ),
    ]
    seeds: Annotated[
        list[Address],
        Meta(description="IP:PORT of hosts that watch the platform for the others"),
    ] = msgspec.field(default_factory=list)
    grace: Annotated[
        timedelta,
        Meta(description="longest time from SIGTERM to the end of the process"),
    ] = timedelta(seconds=6)
    bind: Annotated[
        str | None,
        Meta(description="IP address to listen on for other daemons, if not `host`"),
    ] = None
    # Each daemon that polls costs 111 B a second, and balancers poll in addition. At
    # the target size a node spends 3 KB a second on control traffic.
    fan_out: Annotated[
        int,
        Meta(
            ge=1,
            le=1_000,
            description="how many daemons poll the same daemon for changes",
        ),
    ] = 16


class OpaqueBackendSection(_Section):
    """Backend server beside an agent for passthrough flows."""

    address: Annotated[
        Address, Meta(description="IP:PORT where the backend server receives packets")
    ]
    outbound: Annotated[
        Address, Meta(description="IP:PORT that receives the backend server's packets")
    ]
    heartbeat: Annotated[timedelta, Meta(description="time between heartbeats")]
    cold_factor: Annotated[
        float,
        Meta(
            ge=0,
            description="openings a second while cold: service's rate times this",
        ),
    ]
    cold_slack: Annotated[
        float, Meta(ge=0, description="openings a second added to the limit while cold")
    ]
    longest_flow: Annotated[
        timedelta,
        Meta(description="longest expected flow; an older one may be forgotten"),
    ] = timedelta(seconds=60)
    service: Annotated[
        str,
        Meta(description="service of the backend server; unknown if empty"),
    ] = ""


class OutliersSection(_Section):
    """Detection of backend servers that fail what they accept."""

    mode: Annotated[
        Literal["off", "observe", "eject"],
        Meta(description="ignore such servers, only log them, or send them less"),
    ] = "off"
    largest_share: Annotated[
        float,
        Meta(gt=0, le=0.5, description="largest share of a service's servers left out"),
    ] = 0.3


class PlacementSection(_Section):
    """Placement of new flows."""

    policy: Annotated[
        Literal["plain", "mixed"],
        Meta(description="mixed: foresee the work of long flows beside short ones"),
    ] = "plain"


class FairnessSection(_Section):
    """Shares of callers while openings wait or are refused."""

    callers: Annotated[
        Literal["off", "address"],
        Meta(description="what tells callers apart; off: they are not told apart"),
    ] = "off"


class SecondOffersSection(_Section):
    """Openings of repeatable requests that are offered to a second backend server."""

    share: Annotated[
        float,
        Meta(ge=0, le=0.2, description="largest share of openings; 0 turns it off"),
    ] = 0.0
    delay: Annotated[
        timedelta, Meta(description="shortest wait before an opening is offered again")
    ] = timedelta(milliseconds=50)


class DetoursSection(_Section):
    """Relays through another data centre around a cut link."""

    mode: Annotated[
        Literal["off", "on"], Meta(description="whether packets may take a detour")
    ] = "off"


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


class PassthroughBalancerSettings(_Section):
    """All settings of a balancer for passthrough flows."""

    node: NodeSection
    passthrough: PassthroughSection
    platform: PlatformSection
    outliers: OutliersSection = OutliersSection()
    placement: PlacementSection = PlacementSection()
    fairness: FairnessSection = FairnessSection()
    second_offers: SecondOffersSection = SecondOffersSection()
    detours: DetoursSection = DetoursSection()
    logs: LogsSection = LogsSection()
    metrics: MetricsSection = MetricsSection()


class PassthroughAgentSettings(_Section):
    """All settings of an agent for passthrough flows."""

    node: NodeSection
    passthrough: PassthroughSection
    opaque_backend: OpaqueBackendSection
    platform: PlatformSection
    outliers: OutliersSection = OutliersSection()
    placement: PlacementSection = PlacementSection()
    fairness: FairnessSection = FairnessSection()
    second_offers: SecondOffersSection = SecondOffersSection()
    detours: DetoursSection = DetoursSection()
    logs: LogsSection = LogsSection()
    metrics: MetricsSection = MetricsSection()


def read_settings(path: str, model: type[Any]) -> Any:
    """Return the validated settings in an INI file or raise `SettingsError`."""
    sections = read_sections(path)
    problems: list[str] = []
    values = _read_fields(model, sections, "", problems, _read_section)
    if problems:
        raise SettingsError(f"{path}: {'; '.join(problems)}")
    return model(**values)


def read_sections(path: str) -> dict[str, dict[str, str]]:
    """Return the sections of an INI file with their values as text.

    A key whose value is a placeholder that the template's filler did not know counts as
    missing.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"cannot read {path}: {error}; check the path") from error
    except configparser.Error as error:
        raise SettingsError(
            f"{path} is not INI text; correct it: {error.message}"
        ) from error
    return {
        name: {
            key: value
            for key, value in parser[name].items()
            if not _UNFILLED_PLACEHOLDER.fullmatch(value)
        }
        for name in parser.sections()
    }


def choose_settings_model(sections: dict[str, dict[str, str]]) -> type[Any]:
    """Return the settings class for a file that has these sections."""
    if "opaque_backend" in sections:
        return PassthroughAgentSettings
    if "passthrough" in sections:
        return PassthroughBalancerSettings
    return AgentSettings if "backend" in sections else BalancerSettings


def make_key_ring(section: KeysSection) -> KeyRing:
    """Return the key ring that a settings file describes."""
    previous = parse_key(section.previous) if section.previous else None
    return KeyRing(parse_key(section.current), previous)


def explain_settings(settings: Any) -> list[str]:
    """Return one line for each section and for each key, with its value and meaning."""
    lines = []
    for section_name in settings.__struct_fields__:
        section = getattr(settings, section_name)
        hints = get_type_hints(type(section), include_extras=True)
        lines.append(f"[{section_name}]")
        for key in section.__struct_fields__:
            value = "(secret)" if section_name == "keys" else getattr(section, key)
            (meta,) = hints[key].__metadata__
            lines.append(f"  {key} = {value}  ; {meta.description}")
    return lines


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT``."""
    host, _, port = str(text).strip().rpartition(":")
    if not host or not port.isdigit() or int(port) > 65_535:
        raise ValueError(f"{text!r} is not IP:PORT; write for example 127.0.0.1:7720")
    return host, int(port)


def parse_addresses(text: str) -> list[Address]:
    """Parse ``IP:PORT`` addresses separated by commas."""
    return [parse_address(item) for item in str(text).split(",") if item.strip()]


def parse_words(text: str) -> list[str]:
    """Parse words separated by commas."""
    return [word.strip() for word in str(text).split(",") if word.strip()]


def parse_duration(text: str) -> timedelta:
    """Parse a number with its unit: ``250ms``, ``2s`` or ``5m``."""
    units = {"ms": 0.001, "s": 1.0, "m": 60.0}
    value = str(text).strip()
    number = value.rstrip("ms")
    unit = value[len(number) :]
    try:
        return timedelta(seconds=float(number) * units[unit])
    except (ValueError, KeyError):
        raise ValueError(f"{text!r} is not a time; write 250ms, 2s or 5m") from None


_UNFILLED_PLACEHOLDER = re.compile(r"\{\{.*\}\}")

_PARSERS: dict[Any, Callable[[str], Any]] = {
    Address: parse_address,
    Address | None: parse_address,
    list[Address]: parse_addresses,
    list[str]: parse_words,
    timedelta: parse_duration,
}

_ReadValue = Callable[[Any, Any, str, list[str]], Any]


def _read_fields(
    model: type[Any],
    raw: dict[str, Any],
    prefix: str,
    problems: list[str],
    read_value: _ReadValue,
) -> dict[str, Any]:
    """Return the values of a struct's fields; append each error to `problems`."""
    hints = get_type_hints(model, include_extras=True)
    for name in sorted(set(raw) - set(hints)):
        problems.append(f"{prefix}{name}: unknown key; remove it or see the samples")
    values = {}
    for field in msgspec.structs.fields(model):
        if field.name in raw:
            full_name = prefix + field.name
            value = read_value(hints[field.name], raw[field.name], full_name, problems)
            values[field.name] = value
        elif field.required:
            problems.append(f"{prefix}{field.name}: missing; add it")
    return values


def _read_section(
    model: Any, raw: dict[str, str], full_name: str, problems: list[str]
) -> Any:
    problems_before = len(problems)
    values = _read_fields(model, raw, full_name + ".", problems, _read_key)
    return model(**values) if len(problems) == problems_before else None


def _read_key(hint: Any, text: str, full_name: str, problems: list[str]) -> Any:
    parse = _PARSERS.get(hint.__origin__)
    try:
        if parse is not None:
            return parse(text)
        return msgspec.convert(text, hint, strict=False)
    except (ValueError, msgspec.ValidationError) as error:
        problems.append(f"{full_name}: {error}")
        return None
