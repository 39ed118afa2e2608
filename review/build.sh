#!/bin/sh
# The stand-ins need only Python's standard library.
cd "$(dirname "$0")/.." && python3 -m compileall -q review/standins
