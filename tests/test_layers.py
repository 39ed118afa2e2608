"""A package imports only packages whose state has a shorter lifetime than its own."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parent.parent / "src" / "berylturn"
# A layer may import itself, the layers before it, and the modules beside the packages.
LAYERS = ("version", "request", "connection", "process", "platform")
# Names of the users' platform; only its adapter, the package `platform`, may use them.
WIRE_NAMES = (
    "path_prefix",
    "weighted_services",
    "cold_remaining_ms",
    "heartbeat_address",
    "datagram_address",
    "/-/objects",
    "/-/instances",
)


def imported_layers(path: Path) -> set[str]:
    """Return the layers that a module imports by relative imports."""
    packages = set()
    level_of_layers = len(path.relative_to(PACKAGE).parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.level != level_of_layers:
            continue
        if node.module:
            packages.add(node.module.split(".")[0])
        else:
            packages.update(alias.name for alias in node.names)
    return packages & set(LAYERS)


class TestLayers(unittest.TestCase):
    """No layer imports a layer that comes after it in `LAYERS`."""

    @params(*LAYERS)
    def test_imports(self, layer: str) -> None:
        forbidden = set(LAYERS[LAYERS.index(layer) :])
        violations = {
            path.name: imported_layers(path) & forbidden
            for path in sorted((PACKAGE / layer).rglob("*.py"))
        }
        self.assertEqual(
            {}, {name: layers for name, layers in violations.items() if layers}
        )

    @params(*WIRE_NAMES)
    def test_wire_names_stay_in_the_adapter(self, name: str) -> None:
        modules = [
            path
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "platform" and name in path.read_text()
        ]
        self.assertEqual([], modules)
