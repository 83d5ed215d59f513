#!/bin/sh
# The stand-ins need only the Python interpreter that deploy/build.py runs with: nothing has to be built.
# What is checked here is that they can be loaded.
cd "$(dirname "$0")" && exec python3 -B -c "import standins.case, standins.client, standins.discovery, standins.sidecar, standins.upstream"
