"""Tell operators where a passthrough node would send an opening now, and why."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl, urlencode

import msgspec

from ..connection.segments import make_flow_key
from ..errors import ObjectNotFound, PlatformUnavailable, SettingsError
from .http_client import HttpConnection
from .http_server import HttpReply, HttpRequest
from .object_view import EXPLAIN_PATH
from .settings import Address, parse_address

TIMEOUT_SECONDS = 3.0


def serve_forecast(
    request: HttpRequest, explain: Callable[[bytes], dict[str, object]]
) -> HttpReply:
    """Answer a request for a forecast.

    Parameters
    ----------
    request : HttpRequest
        Request whose query names the address and the caller of a flow.
    explain : callable
        Returns the forecast for a flow's key.
    """
    query = dict(parse_qsl(request.path.partition("?")[2]))
    try:
        caller, address = parse_address(query["from"]), parse_address(query["address"])
        flow = make_flow_key(caller, address)
    except (KeyError, ValueError, OverflowError) as error:
        problem = f"query needs address=IP:PORT and from=IP:PORT ({error})"
        return HttpReply(400, msgspec.json.encode({"error": problem}))
    return HttpReply(200, msgspec.json.encode(explain(flow)))


async def fetch_forecast(node: str, address: str, caller: str, as_json: bool) -> str:
    """Return a node's answer as text, or as JSON text.

    Raises `SettingsError` for an unusable argument, `ObjectNotFound` for an address
    without a route, `PlatformUnavailable` for a node that cannot be asked.
    """
    target = _read_address("--node", node)
    query = {
        "address": "{}:{}".format(*_read_address("--address", address)),
        "from": "{}:{}".format(*_read_address("--from", caller)),
    }
    connection = HttpConnection(target)
    try:
        reply = await connection.request(
            "GET", f"{EXPLAIN_PATH}?{urlencode(query)}", seconds=TIMEOUT_SECONDS
        )
    finally:
        connection.close()
    if reply.status != 200:
        raise PlatformUnavailable(
            f"{node} answers with status {reply.status}; give the peer port of a "
            "passthrough node of this release"
        )
    answer = msgspec.json.decode(reply.body)
    if answer.get("refused") == "no_route":
        raise ObjectNotFound(
            f"{address} has no route in version {answer['version']} at {node}; "
            "check the address and the configuration"
        )
    return reply.body.decode() if as_json else format_forecast(answer)


def format_forecast(answer: dict[str, Any]) -> str:
    """Return a node's answer as lines of text."""
    lines = [
        f"{answer['flow']}: route {answer['route']}, version {answer['version']}, "
        f"service {answer['service']}",
        f"holder: {answer.get('holder') or 'unknown'}",
    ]
    if answer.get("refused"):
        lines.append(f"an opening would be refused: {answer['refused']}")
    else:
        wait = answer.get("waits")
        waits = f", after a wait of about {wait} s" if wait is not None else ""
        lines.append(f"an opening would go to {answer['to']}{waits}")
    if answer.get("obstacle"):
        lines.append(f"not admitted at once here: {answer['obstacle']}")
    for item in answer.get("candidates", ()):
        verdict = (
            f"excluded ({item['excluded']})" if item["excluded"] else "may take it"
        )
        age = item["report_age"]
        report = "no report" if age is None else f"report {age:.2f} s old"
        lines.append(
            f"  {item['agent']} in {item['data_centre']}: {verdict}, {report}, "
            f"pressure {item['pressure']}, done in {item['completion_seconds']} s"
            + (", cold" if item["cold"] else "")
        )
    return "\n".join(lines)


def _read_address(option: str, text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as error:
        raise SettingsError(f"{option}: {error}; give IP:PORT") from None
