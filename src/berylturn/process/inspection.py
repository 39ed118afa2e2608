"""Handlers of a balancer's control service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from ..domain import Role
from ..version.view import View
from .control import (
    ExplainedServer,
    ExplainReply,
    ExplainRequest,
    Problem,
    PullReply,
    PullRequest,
    StatusReply,
    StatusRequest,
)
from .membership import Membership
from .metrics import Metrics
from .settings import NodeSection


class Inspection:
    """Answer control requests from the state of a balancer.

    Parameters
    ----------
    node : NodeSection
        Name and data centre of the balancer.
    view, membership, metrics : View, Membership, Metrics
        State from which the requests are answered.
    """

    def __init__(
        self, node: NodeSection, view: View, membership: Membership, metrics: Metrics
    ) -> None:
        self._node = node
        self._view = view
        self._membership = membership
        self._metrics = metrics

    def handlers(self) -> dict[str, Callable[[Any], Awaitable[Any]]]:
        """Return the handler of each method of the control service."""
        return {
            "Pull": self._serve_pull,
            "Status": self._serve_status,
            "Explain": self._serve_explain,
        }

    async def _serve_pull(self, request: PullRequest) -> PullReply:
        store = self._view.store
        differing_buckets = _differing_buckets(
            request.object_buckets, store.bucket_digests()
        )
        objects = store.in_buckets(differing_buckets)
        differing_buckets = _differing_buckets(
            request.member_buckets, self._membership.bucket_digests()
        )
        return PullReply(objects, self._membership.bucket_members(differing_buckets))

    async def _serve_status(self, request: StatusRequest) -> StatusReply:
        view = self._view
        problems = [
            Problem(p.name, p.version, p.problem) for p in view.problems.values()
        ]
        return StatusReply(
            self._node.name,
            self._node.data_centre,
            view.store.version(request.name),
            problems,
            self._membership.live(Role.BALANCER),
            list(view.agents.values()),
            {name: sorted(s.servers) for name, s in view.services.items()},
            self._metrics.totals,
            view.shared_addresses(),
        )

    async def _serve_explain(self, request: ExplainRequest) -> ExplainReply:
        service = self._view.services.get(request.service)
        if service is None:
            return ExplainReply(request.service, False, "", 0, [])
        servers = [
            ExplainedServer(e.name, e.data_centre, e.share, e.verdict)
            for e in self._view.explain(request.service)
        ]
        return ExplainReply(
            request.service, True, service.selector.address, service.version, servers
        )


def _differing_buckets(remote_digests: list[int], local_digests: list[int]) -> set[int]:
    return {
        i
        for i, value in enumerate(local_digests)
        if remote_digests[i : i + 1] != [value]
    }
