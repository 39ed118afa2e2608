#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q 6/standins_2 7/standins_2 8/standins_2
