"""Imports run one way: from what lives long to what lives short."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

from nose2.tools import params

PACKAGE = Path(__file__).parent.parent / "src" / "berylturn"
# Each layer may import itself, the modules beside the packages, and those before it.
LAYERS = ("version", "request", "connection", "process", "platform")
# The adapter's words: nothing outside it speaks them.
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
    """Return the layers that a module imports, by relative imports of its package."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 2 and node.module:
            found.add(node.module.split(".")[0])
    return found & set(LAYERS)


class TestLayers(unittest.TestCase):
    """Keep each package free of those that are built on it."""

    @params(*LAYERS)
    def test_imports(self, layer: str) -> None:
        upper = set(LAYERS[LAYERS.index(layer) :])
        upwards = {
            path.name: imported_layers(path) & upper
            for path in sorted((PACKAGE / layer).glob("*.py"))
        }
        self.assertEqual({}, {name: found for name, found in upwards.items() if found})

    @params(*WIRE_NAMES)
    def test_wire_names_stay_in_the_adapter(self, name: str) -> None:
        modules = [
            path
            for path in PACKAGE.rglob("*.py")
            if path.parent.name != "platform" and name in path.read_text()
        ]
        self.assertEqual([], modules)
