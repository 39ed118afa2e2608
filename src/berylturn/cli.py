"""Command-line tool for operators: changes labels and selectors, shows status."""

from __future__ import annotations

import asyncio
import configparser
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import fire

from .errors import (
    BerylturnError,
    ObjectNotFound,
    PlatformUnavailable,
    SelectorError,
    SettingsError,
)
from .process.claims import claim_address, list_claims, release_claims
from .process.control import (
    ControlError,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
    call_control,
)
from .process.http_client import HttpConnection
from .process.object_view import STATE_PATH
from .process.operator_tool import OperatorTool
from .process.platform import current_version
from .process.settings import TlsSection, parse_address
from .version.selectors import (
    DATA_CENTRE_PREFIX,
    DATA_CENTRE_STATES,
    SELECTOR_PREFIX,
    SERVER_PREFIX,
    SERVER_STATES,
    check_name,
    parse_labels,
    parse_selector,
)

EXIT_FAILED = 1
EXIT_CONFLICT = 2
EXIT_NOT_IN_FORCE = 3
STATE_SECONDS = 3.0
LABEL_STATES = {SERVER_PREFIX: SERVER_STATES, DATA_CENTRE_PREFIX: DATA_CENTRE_STATES}


class LabelCommands:
    """Change the labels of backend servers and data centres."""

    def set(self, target, *labels, platform="", json=False, wait=False, **tls):
        """Set labels, for example ``server/desk-1 app=booking slots=3``."""
        pairs = dict(_parse_pair(str(label)) for label in labels)
        if not pairs:
            raise SelectorError("no labels given; write KEY=VALUE")
        tool = OperatorTool(platform, json, _tls(tls))
        _run(_change_labels(tool, target, pairs, (), wait))

    def remove(self, target, *keys, platform="", json=False, wait=False, **tls):
        """Remove labels by key."""
        tool = OperatorTool(platform, json, _tls(tls))
        _run(_change_labels(tool, target, {}, tuple(map(str, keys)), wait))

    def list(self, target="", platform="", json=False):
        """List labels; `target` is a prefix such as ``server/``."""
        _run(
            _list_objects(OperatorTool(platform, json, TlsSection()), target, "labels")
        )


class SelectorCommands:
    """Change the selectors, one for each service."""

    def apply(self, file, platform="", json=False, wait=False, **tls):
        """Write the selector in an INI file."""
        _run(_apply_selector(OperatorTool(platform, json, _tls(tls)), file, wait))

    def remove(self, service, platform="", json=False, wait=False, **tls):
        """Delete the selector of a service."""
        _run(_remove_selector(OperatorTool(platform, json, _tls(tls)), service, wait))

    def list(self, platform="", json=False):
        """List all selectors."""
        tool = OperatorTool(platform, json, TlsSection())
        _run(_list_objects(tool, SELECTOR_PREFIX, "selectors"))

    def show(self, service, platform="", json=False):
        """Show the selector of a service."""
        tool = OperatorTool(platform, json, TlsSection())
        _run(_list_objects(tool, SELECTOR_PREFIX + service, "selector"))


def show_status(platform="", json=False, **tls):
    """Show what every balancer knows."""
    _run(_show_status(OperatorTool(platform, json, _tls(tls))))


def explain_service(service, platform="", json=False, **tls):
    """Explain why work for a service goes where it goes."""
    _run(_explain(OperatorTool(platform, json, _tls(tls)), service))


def inspect_daemon(address, json=False):
    """Show view, flows, load and gate of a daemon for flows without a token.

    Parameters
    ----------
    address : str
        IP:PORT of its peer port.
    json : bool
        Whether to print JSON text as it came.
    """
    try:
        target = parse_address(address)
    except ValueError as error:
        raise SettingsError(f"{error}; name a daemon's peer port") from None
    print(asyncio.run(_read_state(target, json)))


async def _read_state(address: tuple[str, int], as_json: bool) -> str:
    connection = HttpConnection(address)
    try:
        answer = await connection.request("GET", STATE_PATH, seconds=STATE_SECONDS)
    finally:
        connection.close()
    if answer.status != 200:
        raise PlatformUnavailable(
            f"{address[0]}:{address[1]} answers {answer.status}; name a peer port"
        )
    if as_json:
        return answer.body.decode()
    state = json.loads(answer.body)
    return "\n".join(f"{name:18} {_format_state(v)}" for name, v in state.items())


def _format_state(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


async def _change_labels(
    tool: OperatorTool, target: str, pairs: dict[str, str], removed: tuple, wait: bool
) -> None:
    states = _states_of(target)
    labels, version = await _read_labels(tool, target)
    labels.update(pairs)
    for key in removed:
        labels.pop(key, None)
    body = json.dumps({"labels": labels}).encode()
    parse_labels(body, states)
    new_version = await tool.platform.put(target, body, version)
    if wait:
        await tool.wait_in_force(target, new_version)
    text = f"{target} version {new_version}: {_format_labels(labels)}"
    tool.show({"object": target, "version": new_version, "labels": labels}, text)


async def _read_labels(tool: OperatorTool, target: str) -> tuple[dict[str, str], int]:
    try:
        known = await tool.platform.get(target)
    except ObjectNotFound:
        return {}, 0
    return json.loads(known.body)["labels"], known.version


async def _apply_selector(tool: OperatorTool, file: str, wait: bool) -> None:
    body = _read_selector_file(file)
    selector = parse_selector(body)
    name = SELECTOR_PREFIX + selector.service
    _, expected, claims, matched = await asyncio.gather(
        _check_address_is_free(tool, selector.service, selector.address),
        current_version(tool.platform, name),
        list_claims(tool.platform, selector.service),
        _count_matches(tool, selector),
    )
    await claim_address(tool.platform, selector.service, selector.address)
    version = await tool.platform.put(name, body, expected)
    claims.pop(selector.address, None)
    await release_claims(tool.platform, claims)
    if not matched:
        print("warning: the selector matches no backend server yet", file=sys.stderr)
    if wait:
        await tool.wait_in_force(name, version)
    text = f"{name} version {version}: matches {matched} backend servers"
    tool.show({"object": name, "version": version, "matches": matched}, text)


async def _remove_selector(tool: OperatorTool, service: str, wait: bool) -> None:
    name = SELECTOR_PREFIX + service
    claims = await list_claims(tool.platform, service)
    version = await _delete_selector(tool, name, bool(claims))
    await release_claims(tool.platform, claims)
    if wait and version:
        await tool.wait_in_force(name, version)
    tool.show({"object": name, "version": version}, f"{name} deleted")


async def _delete_selector(tool: OperatorTool, name: str, may_lack: bool) -> int:
    """Return the version of the deletion, 0 when there was nothing to delete."""
    try:
        known = await tool.platform.get(name)
    except ObjectNotFound:
        if may_lack:
            return 0
        raise
    return await tool.platform.delete(name, known.version)


async def _check_address_is_free(
    tool: OperatorTool, service: str, address: str
) -> None:
    result = await tool.platform.list(SELECTOR_PREFIX)
    for item in result.objects:
        other = json.loads(item.body)
        if other["address"] == address and other["service"] != service:
            raise SelectorError(
                f"address {address} belongs to service {other['service']}; "
                "choose another"
            )


async def _count_matches(tool: OperatorTool, selector) -> int:
    result = await tool.platform.list(SERVER_PREFIX)
    labels = [json.loads(item.body)["labels"] for item in result.objects]
    return sum(selector.matches(item) for item in labels)


async def _list_objects(tool: OperatorTool, prefix: str, what: str) -> None:
    result = await tool.platform.list(prefix)
    kinds = (SERVER_PREFIX, DATA_CENTRE_PREFIX, SELECTOR_PREFIX)
    found = {
        o.name: {"version": o.version, **json.loads(o.body)}
        for o in sorted(result.objects, key=lambda o: o.name)
        if o.name.startswith(kinds)
    }
    if prefix and what == "selector" and not found:
        raise ObjectNotFound(f"no {prefix}; see `berylturn selector list`")
    lines = [f"{name}: {json.dumps(body)}" for name, body in found.items()]
    tool.show(found, "\n".join(lines) or f"no {what}")


async def _show_status(tool: OperatorTool) -> None:
    balancers = await tool.balancers()
    replies: dict[str, Any] = {}
    for node, target in sorted(balancers.items()):
        try:
            replies[node] = await call_control(
                target, "Status", StatusRequest(), tool.tls
            )
        except ControlError as error:
            replies[node] = str(error)
    lines = [line for node, reply in replies.items() for line in _describe(node, reply)]
    tool.show(replies, "\n".join(lines) or "no balancers in the directory")


def _describe(node: str, reply: StatusReply | str) -> list[str]:
    if isinstance(reply, str):
        return [f"{node}: {reply}"]
    lines = [
        f"{node} ({reply.data_centre}): {len(reply.balancers)} balancers, "
        f"{len(reply.agents)} agents"
    ]
    for service, servers in sorted(reply.services.items()):
        lines.append(f"  {service}: {', '.join(servers) or 'no backend servers'}")
    for address, names in reply.shared_addresses.items():
        lines.append(f"  {address} is shared by {', '.join(names)}; give each its own")
    for problem in reply.problems:
        lines.append(f"  refused {problem.name}@{problem.version}: {problem.reason}")
    return lines


async def _explain(tool: OperatorTool, service: str) -> None:
    for target in (await tool.balancers()).values():
        try:
            reply: ExplainReply = await call_control(
                target, "Explain", ExplainRequest(service), tool.tls
            )
        except ControlError:
            continue
        if not reply.found:
            raise ObjectNotFound(
                f"service {service} has no selector; see `berylturn selector list`"
            )
        lines = [f"{service} at {reply.address}, selector version {reply.version}"]
        for s in reply.servers:
            lines.append(f"  {s.name} in {s.data_centre}: {s.share}% ({s.verdict})")
        tool.show(reply, "\n".join(lines))
        return
    raise ControlError("no balancer answers; check that balancers run")


def _read_selector_file(file: str) -> bytes:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"))
        section = parser["selector"]
        body = {key: section[key] for key in ("service", "address", "match")}
    except OSError as error:
        raise SelectorError(f"cannot read {file}: {error}; check the path") from error
    except (configparser.Error, KeyError) as error:
        raise SelectorError(
            f"{file} needs [selector] with service, address and match ({error})"
        ) from error
    if parser.has_section("shares"):
        shares = dict(parser["shares"])
        if not all(value.isdigit() for value in shares.values()):
            raise SelectorError("a share is not a whole number; write percent, as 50")
        body["shares"] = {name: int(value) for name, value in shares.items()}
    return json.dumps(body).encode()


def _parse_pair(text: str) -> tuple[str, str]:
    key, separator, value = text.partition("=")
    check_name(key, "label key")
    if not separator:
        raise SelectorError(f"{text!r} is not KEY=VALUE")
    return key, value


def _states_of(target: str) -> tuple[str, ...]:
    for prefix, states in LABEL_STATES.items():
        if target.startswith(prefix):
            check_name(target.removeprefix(prefix), "name")
            return states
    raise SelectorError(f"{target!r}: write server/NAME or data-centre/NAME")


def _format_labels(labels: dict[str, str]) -> str:
    return " ".join(f"{key}={value}" for key, value in sorted(labels.items()))


def _tls(options: dict[str, str]) -> TlsSection:
    allowed = {"certificate", "key", "authority"}
    unknown = set(options) - allowed
    if unknown:
        raise SettingsError(f"unknown option --{unknown.pop()}; see --help")
    return TlsSection(**options)


def _run(coroutine: Coroutine[Any, Any, None]) -> None:
    asyncio.run(coroutine)


def main() -> None:
    """Run the command named on the command line."""
    commands = {
        "label": LabelCommands,
        "selector": SelectorCommands,
        "status": show_status,
        "explain": explain_service,
        "inspect": inspect_daemon,
    }
    statuses = {"VersionConflict": EXIT_CONFLICT, "NotInForce": EXIT_NOT_IN_FORCE}
    try:
        fire.Fire(commands, name="berylturn")
    except BerylturnError as error:
        print(f"berylturn: {error}", file=sys.stderr)
        sys.exit(statuses.get(type(error).__name__, EXIT_FAILED))


if __name__ == "__main__":
    main()
