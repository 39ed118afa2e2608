"""One node's view: the configuration in force, joined with the live members."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ..domain import ConfigObject, Limits, MemberState, Role, Status, limits_from_labels
from ..errors import SelectorError
from .objects import ObjectStore
from .placement import Candidate, DataCentreChoice, PlacementTable
from .selectors import (
    DATA_CENTRE_PREFIX,
    DATA_CENTRE_STATES,
    SELECTOR_PREFIX,
    SERVER_PREFIX,
    SERVER_STATES,
    Selector,
    parse_labels,
    parse_selector,
)


@dataclass(frozen=True)
class ConfigChange:
    """Result of applying one object; `problem` is empty if it is in force."""

    name: str
    version: int
    problem: str = ""


@dataclass(frozen=True)
class Explanation:
    """Placement of one backend server within a service.

    Attributes
    ----------
    share : float
        Percent of new flows that it gets.
    verdict : str
        Why it gets new flows or not.
    """

    name: str
    data_centre: str
    share: float
    verdict: str


@dataclass
class Service:
    """A selector, the backend servers that it matches, and a placement table."""

    selector: Selector
    version: int
    servers: set[str] = field(default_factory=set)
    table: PlacementTable | None = None


@dataclass
class View:
    """Configuration and agents that one node knows, with cached placement tables."""

    store: ObjectStore = field(default_factory=lambda: ObjectStore(_is_valid))
    _revision: int = 0
    _labels: dict[str, dict[str, str]] = field(default_factory=dict)
    _data_centres: dict[str, dict[str, str]] = field(default_factory=dict)
    _services: dict[str, Service] = field(default_factory=dict)
    _agents: dict[str, MemberState] = field(default_factory=dict)
    _problems: dict[str, ConfigChange] = field(default_factory=dict)
    _unreachable: set[str] = field(default_factory=set)
    _services_by_server: dict[str, set[str]] = field(default_factory=dict)

    @property
    def revision(self) -> int:
        """Return a number that increases with each change."""
        return self._revision

    @property
    def services(self) -> dict[str, Service]:
        """Return the services in force by name."""
        return self._services

    @property
    def agents(self) -> dict[str, MemberState]:
        """Return the known agents by name."""
        return self._agents

    @property
    def problems(self) -> dict[str, ConfigChange]:
        """Return the rejected objects and their problems by name."""
        return self._problems

    def apply(self, objects: Iterable[ConfigObject]) -> list[ConfigChange]:
        """Merge objects and put the valid ones in force."""
        return self._apply_all(self.store.merge(objects))

    def apply_complete(
        self, objects: Iterable[ConfigObject], revision: int
    ) -> list[ConfigChange]:
        """Apply the complete list of objects at a revision; delete all others."""
        return self._apply_all(self.store.merge_complete(objects, revision))

    def set_agent(self, member: MemberState) -> None:
        """Store the state of an agent; remove one that is dead or has left."""
        known = self._agents.get(member.name)
        if member.status in (Status.DEAD, Status.LEFT):
            self._agents.pop(member.name, None)
        else:
            self._agents[member.name] = member
        if known != member:
            self._drop_tables(member.name)

    def set_unreachable(self, names: set[str]) -> None:
        """Replace the names of the agents that this node itself cannot reach."""
        changed = names ^ self._unreachable
        self._unreachable = set(names)
        for name in changed:
            self._drop_tables(name)

    def shared_addresses(self) -> dict[str, list[str]]:
        """Return the addresses that several services use, with the services' names."""
        by_address: dict[str, list[str]] = {}
        for name, entry in sorted(self._services.items()):
            by_address.setdefault(entry.selector.address, []).append(name)
        return {a: names for a, names in by_address.items() if len(names) > 1}

    def is_data_centre_out(self, name: str) -> bool:
        """Tell whether a data centre is marked out of service."""
        return self._data_centres.get(name, {}).get("state") == "out"

    def labels(self, server: str) -> dict[str, str]:
        """Return the labels in force of a backend server."""
        return self._labels.get(server, {})

    def limits(self, server: str) -> Limits:
        """Return the limits that the labels of a backend server set."""
        return limits_from_labels(self.labels(server))

    def services_of(self, server: str) -> list[str]:
        """Return the names of the services that a backend server serves."""
        return sorted(self._services_by_server.get(server, ()))

    def table(self, service: str) -> PlacementTable | None:
        """Return the placement table, or None for an unknown service."""
        entry = self._services.get(service)
        if entry is None:
            return None
        if entry.table is None:
            entry.table = self._build_table(entry)
        return entry.table

    def objects_for_agent(
        self, server: str, data_centre: str, held_selectors: list[str]
    ) -> list[ConfigObject]:
        """Return the objects that the agent beside `server` needs.

        The selectors that the agent already has (`held_selectors`) are included, so
        that it sees when one no longer matches or was deleted.
        """
        names = [SERVER_PREFIX + server, DATA_CENTRE_PREFIX + data_centre]
        services = sorted({*self.services_of(server), *held_selectors})
        names += [SELECTOR_PREFIX + name for name in services]
        store = self.store
        return [item for n in names for item in store.retained(n) or store.tombstone(n)]

    def explain(self, service: str) -> list[Explanation]:
        """Return the placement of each backend server that a service matches."""
        table = self.table(service) or PlacementTable()
        shares = _candidate_shares(table)
        return [
            self._explain_server(name, shares)
            for name in sorted(self._services[service].servers)
        ]

    def _explain_server(self, name: str, shares: dict[str, float]) -> Explanation:
        agent = self._agents.get(name)
        if agent is None:
            return Explanation(name, "", 0.0, "no agent has announced it")
        if name in shares:
            verdict = "takes new flows"
        elif self.is_data_centre_out(agent.data_centre):
            verdict = "its data centre is out"
        elif not self._accepts_flows(agent):
            verdict = "draining"
        elif not self._is_healthy(agent):
            verdict = "suspected or unreachable"
        else:
            verdict = "its data centre has no share"
        return Explanation(name, agent.data_centre, shares.get(name, 0.0), verdict)

    def _apply_all(self, changed: list[ConfigObject]) -> list[ConfigChange]:
        self._revision += len(changed)
        return [self._apply_one(item) for item in changed]

    def _apply_one(self, item: ConfigObject) -> ConfigChange:
        """Put an object in force; record a problem if it is invalid."""
        try:
            parsed = _parse_object(item)
        except SelectorError as error:
            change = ConfigChange(item.name, item.version, str(error))
            self._problems[item.name] = change
            return change
        if self.store.version(item.name) == item.version:
            self._problems.pop(item.name, None)
        kind, _, name = item.name.partition("/")
        if kind == "server":
            self._apply_labels(name, parsed)
        elif kind == "data-centre":
            self._apply_data_centre(name, parsed)
        elif kind == "selector":
            self._apply_selector(name, item.version, parsed)
        return ConfigChange(item.name, item.version)

    def _apply_labels(self, server: str, labels: dict[str, str] | None) -> None:
        if labels is None:
            self._labels.pop(server, None)
        else:
            self._labels[server] = labels
        self._match_server(server)
        self._drop_tables(server)

    def _apply_data_centre(self, name: str, labels: dict[str, str] | None) -> None:
        if labels is None:
            self._data_centres.pop(name, None)
        else:
            self._data_centres[name] = labels
        for entry in self._services.values():
            entry.table = None

    def _apply_selector(
        self, name: str, version: int, selector: Selector | None
    ) -> None:
        self._drop_service(name)
        if selector is None:
            return
        entry = Service(selector, version)
        entry.servers = {n for n, lab in self._labels.items() if selector.matches(lab)}
        self._services[name] = entry
        for server in entry.servers:
            self._services_by_server.setdefault(server, set()).add(name)

    def _drop_service(self, name: str) -> None:
        entry = self._services.pop(name, None)
        for server in entry.servers if entry else ():
            self._services_by_server[server].discard(name)

    def _match_server(self, server: str) -> None:
        labels = self._labels.get(server)
        server_services = self._services_by_server.setdefault(server, set())
        for name, entry in self._services.items():
            was_matched = name in server_services
            is_matched = labels is not None and entry.selector.matches(labels)
            if was_matched == is_matched:
                continue
            entry.table = None
            if is_matched:
                server_services.add(name)
                entry.servers.add(server)
            else:
                server_services.discard(name)
                entry.servers.discard(server)

    def _drop_tables(self, server: str) -> None:
        for name in self._services_by_server.get(server, ()):
            self._services[name].table = None

    def _build_table(self, entry: Service) -> PlacementTable:
        eligible = [self._agents[n] for n in entry.servers if n in self._agents]
        eligible = [a for a in eligible if self._accepts_flows(a)]
        healthy = [a for a in eligible if self._is_healthy(a)]
        by_data_centre: dict[str, list[Candidate]] = {}
        for agent in sorted(healthy or eligible, key=lambda a: a.name):
            weight = self.limits(agent.name).weight
            by_data_centre.setdefault(agent.data_centre, []).append(
                Candidate(agent.name, agent.data_centre, agent.address, weight)
            )
        return _build_placement_table(by_data_centre, entry.selector.shares)

    def _accepts_flows(self, agent: MemberState) -> bool:
        if agent.status == Status.DRAINING or agent.role != Role.AGENT:
            return False
        if self.labels(agent.name).get("state") == "drain":
            return False
        return not self.is_data_centre_out(agent.data_centre)

    def _is_healthy(self, agent: MemberState) -> bool:
        return agent.status == Status.ALIVE and agent.name not in self._unreachable


def _parse_object(item: ConfigObject) -> Selector | dict[str, str] | None:
    """Return the content of an object, or None if it was deleted.

    Raises
    ------
    SelectorError
        The object is invalid.
    """
    if item.body is None:
        return None
    if item.name.startswith(SERVER_PREFIX):
        return parse_labels(item.body, SERVER_STATES)
    if item.name.startswith(DATA_CENTRE_PREFIX):
        return parse_labels(item.body, DATA_CENTRE_STATES)
    if not item.name.startswith(SELECTOR_PREFIX):
        return None
    selector = parse_selector(item.body)
    if SELECTOR_PREFIX + selector.service != item.name:
        raise SelectorError(
            f"{item.name} describes service {selector.service}; use one name for both"
        )
    return selector


def _is_valid(item: ConfigObject) -> bool:
    try:
        _parse_object(item)
    except SelectorError:
        return False
    return True


def _candidate_shares(table: PlacementTable) -> dict[str, float]:
    total = sum(choice.share for choice in table.choices)
    shares = {}
    for choice in table.choices:
        weight = sum(c.weight for c in choice.candidates)
        for candidate in choice.candidates:
            fraction = candidate.weight / weight * choice.share / total
            shares[candidate.name] = round(100 * fraction, 2)
    return shares


def _build_placement_table(
    by_data_centre: dict[str, list[Candidate]], shares: dict[str, int]
) -> PlacementTable:
    choices = []
    for name, candidates in sorted(by_data_centre.items()):
        share = shares.get(name, 0) if shares else sum(c.weight for c in candidates)
        if share > 0:
            choices.append(DataCentreChoice(name, float(share), tuple(candidates)))
    return PlacementTable(tuple(choices))
