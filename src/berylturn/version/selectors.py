"""Labels and selectors: validated when parsed, plain data afterwards."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from ..decoding import decode_value
from ..domain import limits_from_labels
from ..errors import SelectorError

SERVER_PREFIX = "server/"
DATA_CENTRE_PREFIX = "data-centre/"
SELECTOR_PREFIX = "selector/"
BALANCER_PREFIX = "balancer/"
ADDRESS_PREFIX = "address/"
CONFIG_KINDS = ("server", "data-centre", "selector", "balancer")
TOTAL_SHARE = 100
MAX_NAME_LENGTH = 63
SERVER_STATES = ("serve", "drain")
DATA_CENTRE_STATES = ("in", "out")


@dataclass(frozen=True)
class Term:
    """One condition on a label: equal, not equal, or present."""

    key: str
    value: str | None
    negated: bool = False

    def matches(self, labels: dict[str, str]) -> bool:
        """Tell whether `labels` meet the condition."""
        if self.value is None:
            return self.key in labels
        return (labels.get(self.key) == self.value) != self.negated


@dataclass(frozen=True)
class Selector:
    """Backend servers of a service, chosen by label, and the shares of data centres.

    Attributes
    ----------
    service, address : str
        Name of the service, and the IP:PORT that callers send to.
    terms : tuple of Term
        All must match the labels of a backend server.
    shares : dict of str to int
        Percent of new flows per data centre; if empty, capacity decides.
    """

    service: str
    address: str
    terms: tuple[Term, ...]
    shares: dict[str, int] = field(default_factory=dict)

    def matches(self, labels: dict[str, str]) -> bool:
        """Tell whether a backend server with these labels serves the service."""
        return all(term.matches(labels) for term in self.terms)


class SelectorBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a selector object."""

    service: str
    address: str
    match: str
    shares: dict[str, int] = {}


class LabelBody(msgspec.Struct, forbid_unknown_fields=True):
    """JSON body of a label object."""

    labels: dict[str, str] = {}


_selector_decoder = msgspec.json.Decoder(SelectorBody)
_label_decoder = msgspec.json.Decoder(LabelBody)


def parse_expression(text: str) -> tuple[Term, ...]:
    """Parse a label expression such as ``app=booking,tier!=old,rack``."""
    return tuple(_parse_term(part.strip()) for part in text.split(","))


def parse_selector(body: bytes) -> Selector:
    """Return the selector in a JSON body or raise `SelectorError`."""
    raw = decode_value(
        _selector_decoder,
        body,
        SelectorError,
        "selector is malformed; correct its JSON",
    )
    check_name(raw.service, "service")
    _check_address(raw.address)
    _check_shares(raw.shares)
    return Selector(raw.service, raw.address, parse_expression(raw.match), raw.shares)


def parse_labels(body: bytes, states: tuple[str, ...]) -> dict[str, str]:
    """Return the labels in a JSON body or raise `SelectorError`."""
    labels = decode_value(
        _label_decoder, body, SelectorError, "labels are malformed; correct their JSON"
    ).labels
    for key in labels:
        check_name(key, "label key")
    state = labels.get("state")
    if state is not None and state not in states:
        raise SelectorError(f"state={state} is unknown; use one of {', '.join(states)}")
    _check_limits(labels)
    return labels


def check_name(name: str, label: str) -> None:
    """Raise `SelectorError` unless `name` is short and has allowed characters only.

    `label` says in the error message what the name stands for.
    """
    if not name or len(name) > MAX_NAME_LENGTH:
        raise SelectorError(f"{label} must have 1 to {MAX_NAME_LENGTH} characters")
    if not all(c.isalnum() or c in "-_." for c in name):
        raise SelectorError(
            f"{label} {name!r} has a forbidden character; use letters, digits, '-', "
            "'_' and '.'"
        )


def _parse_term(part: str) -> Term:
    negated = "!=" in part
    key, separator, value = part.partition("!=" if negated else "=")
    check_name(key.strip(), "label key")
    if not separator:
        return Term(key.strip(), None)
    return Term(key.strip(), value.strip(), negated)


def _check_address(address: str) -> None:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65_536:
        raise SelectorError(f"address {address!r} is invalid; write it as IP:PORT")


def _check_shares(shares: dict[str, int]) -> None:
    if any(share < 0 for share in shares.values()):
        raise SelectorError("a data centre's share is negative; use 0 to 100")
    total = sum(shares.values())
    if shares and total != TOTAL_SHARE:
        raise SelectorError(f"shares add up to {total}; make them add up to 100")


def _check_limits(labels: dict[str, str]) -> None:
    try:
        limits = limits_from_labels(labels)
    except ValueError as error:
        raise SelectorError(f"a limit is not a number; correct it: {error}") from error
    counts = (limits.slots, limits.cold_limit, limits.connections)
    if min(counts) < 1 or limits.speed <= 0 or limits.flow_rate <= 0:
        raise SelectorError(
            "slots, cold-limit, connections, speed or flow-rate is zero or negative; "
            "use a positive number"
        )
    if limits.cold_limit > limits.slots:
        raise SelectorError("cold-limit is above slots; lower it to slots or less")
    if limits.cold_seconds < 0:
        raise SelectorError("cold-seconds is negative; use 0 or more")
