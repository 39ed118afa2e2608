"""Command-line tool for operators: change labels and selectors, show status."""

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
    ChangeUnknown,
    ObjectNotFound,
    PlatformUnavailable,
    SelectorError,
    SettingsError,
    VersionConflict,
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
from .process.forecast import fetch_forecast
from .process.http_client import HttpConnection
from .process.object_view import STATE_PATH
from .process.operator_tool import NotInForce, OperatorTool
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
STATE_TIMEOUT_SECONDS = 3.0
LABEL_STATES = {SERVER_PREFIX: SERVER_STATES, DATA_CENTRE_PREFIX: DATA_CENTRE_STATES}


class LabelCommands:
    """Change the labels of backend servers and data centres."""

    def set(self, target, *labels, platform="", json=False, wait=False, **tls):
        """Set labels, for example ``server/desk-1 app=booking slots=3``."""
        new_labels = dict(_parse_label(str(label)) for label in labels)
        if not new_labels:
            raise SelectorError("no labels given; write KEY=VALUE for each")
        tool = OperatorTool(platform, json, _parse_tls(tls))
        _run(_change_labels(tool, target, new_labels, (), wait))

    def remove(self, target, *keys, platform="", json=False, wait=False, **tls):
        """Remove labels by key."""
        tool = OperatorTool(platform, json, _parse_tls(tls))
        _run(_change_labels(tool, target, {}, tuple(map(str, keys)), wait))

    def list(self, target="", platform="", json=False):
        """List labels; `target` is a prefix such as ``server/``."""
        _run(
            _list_objects(OperatorTool(platform, json, TlsSection()), target, "labels")
        )


class SelectorCommands:
    """Change the selectors, one for each service."""

    def apply(self, file, platform="", json=False, wait=False, **tls):
        """Apply the selector in an INI file."""
        _run(_apply_selector(OperatorTool(platform, json, _parse_tls(tls)), file, wait))

    def remove(self, service, platform="", json=False, wait=False, **tls):
        """Delete the selector of a service."""
        _run(
            _remove_selector(
                OperatorTool(platform, json, _parse_tls(tls)), service, wait
            )
        )

    def list(self, platform="", json=False):
        """List all selectors."""
        tool = OperatorTool(platform, json, TlsSection())
        _run(_list_objects(tool, SELECTOR_PREFIX, "selectors"))

    def show(self, service, platform="", json=False):
        """Show the selector of a service."""
        tool = OperatorTool(platform, json, TlsSection())
        _run(_list_objects(tool, SELECTOR_PREFIX + service, "selector"))


def show_status(platform="", json=False, **tls):
    """Show the members, services and refused objects that each balancer has."""
    _run(_show_status(OperatorTool(platform, json, _parse_tls(tls))))


def explain_service(
    service="", platform="", json=False, node="", address="", **options
):
    """Show the share of each backend server in a service, and the reason.

    With `--node` it shows where a passthrough node would send an opening now, and why.

    Parameters
    ----------
    service : str
        Name of the service; empty with `--node`.
    platform : str
        URL of the platform.
    json : bool
        Whether to print the JSON text unchanged.
    node : str
        IP:PORT of the peer port of a passthrough node.
    address : str
        IP:PORT of the platform that the caller opens a flow to.
    from : str
        IP:PORT of the caller.
    """
    if node:
        caller = options.pop("from", "")
        if service or platform or options:
            raise SettingsError("--node takes --address, --from and --json only")
        print(asyncio.run(fetch_forecast(str(node), str(address), str(caller), json)))
        return
    if not service:
        raise SettingsError("name a service, or a node with --node IP:PORT")
    tls = options
    _run(_explain_service(OperatorTool(platform, json, _parse_tls(tls)), service))


def inspect_daemon(address, json=False):
    """Show the state of a passthrough daemon: view, flows, load and admission.

    Parameters
    ----------
    address : str
        IP:PORT of its peer port.
    json : bool
        Whether to print the JSON text unchanged.
    """
    try:
        target = parse_address(address)
    except ValueError as error:
        raise SettingsError(f"{error}; give IP:PORT of a daemon's peer port") from None
    print(asyncio.run(_fetch_state(target, json)))


async def _fetch_state(address: tuple[str, int], as_json: bool) -> str:
    connection = HttpConnection(address)
    try:
        answer = await connection.request(
            "GET", STATE_PATH, seconds=STATE_TIMEOUT_SECONDS
        )
    finally:
        connection.close()
    if answer.status != 200:
        raise PlatformUnavailable(
            f"{address[0]}:{address[1]} answers {answer.status}; "
            "give a daemon's peer port"
        )
    if as_json:
        return answer.body.decode()
    state = json.loads(answer.body)
    return "\n".join(f"{name:18} {_format_state(v)}" for name, v in state.items())


def _format_state(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)


async def _change_labels(
    tool: OperatorTool,
    target: str,
    new_labels: dict[str, str],
    removed_keys: tuple,
    wait: bool,
) -> None:
    states = _allowed_states(target)
    labels, version = await _read_labels(tool, target)
    labels.update(new_labels)
    for key in removed_keys:
        labels.pop(key, None)
    body = json.dumps({"labels": labels}).encode()
    parse_labels(body, states)
    new_version = await tool.platform.put(target, body, version)
    if wait:
        await tool.wait_in_force(target, new_version)
    text = f"{target} version {new_version}: {_format_labels(labels)}"
    tool.print_result(
        {"object": target, "version": new_version, "labels": labels}, text
    )


async def _read_labels(tool: OperatorTool, target: str) -> tuple[dict[str, str], int]:
    try:
        current = await tool.platform.get(target)
    except ObjectNotFound:
        return {}, 0
    return json.loads(current.body)["labels"], current.version


async def _apply_selector(tool: OperatorTool, file: str, wait: bool) -> None:
    body = _read_selector_file(file)
    selector = parse_selector(body)
    name = SELECTOR_PREFIX + selector.service
    _, expected, claims, match_count = await asyncio.gather(
        _check_address_unused(tool, selector.service, selector.address),
        current_version(tool.platform, name),
        list_claims(tool.platform, selector.service),
        _count_matches(tool, selector),
    )
    await claim_address(tool.platform, selector.service, selector.address)
    version = await tool.platform.put(name, body, expected)
    claims.pop(selector.address, None)
    await release_claims(tool.platform, claims)
    if not match_count:
        print("warning: the selector matches no backend server yet", file=sys.stderr)
    if wait:
        await tool.wait_in_force(name, version)
    text = f"{name} version {version}: matches {match_count} backend servers"
    tool.print_result(
        {"object": name, "version": version, "matches": match_count}, text
    )


async def _remove_selector(tool: OperatorTool, service: str, wait: bool) -> None:
    name = SELECTOR_PREFIX + service
    claims = await list_claims(tool.platform, service)
    version = await _delete_selector(tool, name, bool(claims))
    await release_claims(tool.platform, claims)
    if wait and version:
        await tool.wait_in_force(name, version)
    tool.print_result({"object": name, "version": version}, f"{name} deleted")


async def _delete_selector(tool: OperatorTool, name: str, missing_ok: bool) -> int:
    """Return the version of the deletion, 0 if the selector was missing already."""
    try:
        current = await tool.platform.get(name)
    except ObjectNotFound:
        if missing_ok:
            return 0
        raise
    return await tool.platform.delete(name, current.version)


async def _check_address_unused(tool: OperatorTool, service: str, address: str) -> None:
    result = await tool.platform.list(SELECTOR_PREFIX)
    for item in result.objects:
        other_selector = json.loads(item.body)
        if (
            other_selector["address"] == address
            and other_selector["service"] != service
        ):
            raise SelectorError(
                f"address {address} belongs to service {other_selector['service']}; "
                "choose another address"
            )


async def _count_matches(tool: OperatorTool, selector) -> int:
    result = await tool.platform.list(SERVER_PREFIX)
    labels = [json.loads(item.body)["labels"] for item in result.objects]
    return sum(selector.matches(item) for item in labels)


async def _list_objects(tool: OperatorTool, prefix: str, description: str) -> None:
    result = await tool.platform.list(prefix)
    prefixes = (SERVER_PREFIX, DATA_CENTRE_PREFIX, SELECTOR_PREFIX)
    listed_objects = {
        o.name: {"version": o.version, **json.loads(o.body)}
        for o in sorted(result.objects, key=lambda o: o.name)
        if o.name.startswith(prefixes)
    }
    if prefix and description == "selector" and not listed_objects:
        raise ObjectNotFound(f"found no {prefix}; see `berylturn selector list`")
    lines = [f"{name}: {json.dumps(body)}" for name, body in listed_objects.items()]
    tool.print_result(listed_objects, "\n".join(lines) or f"no {description}")


async def _show_status(tool: OperatorTool) -> None:
    addresses = await tool.control_addresses()
    replies: dict[str, Any] = {}
    for node, target in sorted(addresses.items()):
        try:
            replies[node] = await call_control(
                target, "Status", StatusRequest(), tool.tls
            )
        except ControlError as error:
            replies[node] = str(error)
    lines = [
        line for node, reply in replies.items() for line in _format_status(node, reply)
    ]
    tool.print_result(replies, "\n".join(lines) or "no balancers in the directory")


def _format_status(node: str, reply: StatusReply | str) -> list[str]:
    if isinstance(reply, str):
        return [f"{node}: {reply}"]
    lines = [
        f"{node} ({reply.data_centre}): {len(reply.balancers)} balancers, "
        f"{len(reply.agents)} agents"
    ]
    for service, servers in sorted(reply.services.items()):
        lines.append(f"  {service}: {', '.join(servers) or 'no backend servers'}")
    for address, names in reply.shared_addresses.items():
        lines.append(
            f"  {address} is shared by {', '.join(names)}; give each its own address"
        )
    for problem in reply.problems:
        lines.append(f"  refused {problem.name}@{problem.version}: {problem.reason}")
    return lines


async def _explain_service(tool: OperatorTool, service: str) -> None:
    for target in (await tool.control_addresses()).values():
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
        tool.print_result(reply, "\n".join(lines))
        return
    raise ControlError("no balancer answers; check that the balancers run")


def _read_selector_file(file: str) -> bytes:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"))
        section = parser["selector"]
        body = {key: section[key] for key in ("service", "address", "match")}
    except OSError as error:
        raise SelectorError(f"cannot read {file}: {error}; check the path") from error
    except UnicodeDecodeError as error:
        raise SelectorError(f"{file} is not UTF-8 text; save it as UTF-8") from error
    except (configparser.Error, KeyError) as error:
        raise SelectorError(
            f"{file} needs [selector] with service, address and match ({error})"
        ) from error
    if parser.has_section("shares"):
        shares = dict(parser["shares"])
        if not all(value.isdigit() for value in shares.values()):
            raise SelectorError(
                "a value in [shares] is not a whole number; write percent, such as 50"
            )
        body["shares"] = {name: int(value) for name, value in shares.items()}
    return json.dumps(body).encode()


def _parse_label(text: str) -> tuple[str, str]:
    key, equals_sign, value = text.partition("=")
    check_name(key, "label key")
    if not equals_sign:
        raise SelectorError(f"{text!r} is not KEY=VALUE; write a label as app=booking")
    return key, value


def _allowed_states(target: str) -> tuple[str, ...]:
    for prefix, states in LABEL_STATES.items():
        if target.startswith(prefix):
            check_name(target.removeprefix(prefix), "name")
            return states
    raise SelectorError(
        f"{target!r} is no label target; write server/NAME or data-centre/NAME"
    )


def _format_labels(labels: dict[str, str]) -> str:
    return " ".join(f"{key}={value}" for key, value in sorted(labels.items()))


def _parse_tls(options: dict[str, str]) -> TlsSection:
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
    try:
        fire.Fire(commands, name="berylturn")
    except BerylturnError as error:
        print(f"berylturn: {error}", file=sys.stderr)
        sys.exit(choose_exit_status(error))


def choose_exit_status(error: BerylturnError) -> int:
    """Return the tool's exit status for an error.

    A change that may have taken effect is no mere conflict: the operator has to look.
    """
    if isinstance(error, VersionConflict) and not isinstance(error, ChangeUnknown):
        return EXIT_CONFLICT
    if isinstance(error, NotInForce):
        return EXIT_NOT_IN_FORCE
    return EXIT_FAILED


if __name__ == "__main__":
    main()
