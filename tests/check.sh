#!/bin/sh
# The whole test run: lint, types, tests. On a fresh clone it makes its own environment, .venv-check.
set -eu
cd "$(dirname "$0")/.."

pins=$(cat pyproject.toml)
if python -c 'import etcd_client, google.protobuf, grpc, httptools, hypothesis, msgspec, mypy, nacl, ngh2, pytest, trustme, uvloop, xdist' 2>/dev/null && command -v ruff >/dev/null; then
    python=python  # an environment that has all is used as it is
else
    python=.venv-check/bin/python
    # an environment made by an older list of pins, or cut off, would test against other versions
    if [ "$(cat .venv-check/pins.toml 2>/dev/null)" != "$pins" ]; then
        echo "making .venv-check with the pinned tools ..."
        rm -rf .venv-check
        python3 -m venv .venv-check
        "$python" -m pip install --quiet --disable-pip-version-check -e '.[dev,sidecar]'
        cp pyproject.toml .venv-check/pins.toml
    fi
fi
"$python" -m ruff format --check .
"$python" -m ruff check .
"$python" -m mypy
# the tests of the deploy file build .venv; done here, two of them never do it at once
"$python" deploy/build.py
# all from the sources; then once more compiled what every request passes, its decisions, sockets and upgrades
SIDECAR_PROXY_PURE=1 "$python" -m pytest -n 6 --dist loadfile "$@"
if [ $# = 0 ]; then
    "$python" -m pytest -n 6 --dist loadfile tests/balancer tests/crossings tests/grpc tests/http2 \
        tests/admin/test_hot_restart.py tests/engine/test_engine.py tests/engine/test_reference_counting.py \
        tests/engine/test_timers.py tests/golden/test_recordings.py tests/test_admission.py tests/test_bodies.py \
        tests/test_discovery.py tests/test_server.py tests/test_upstream.py tests/testbed/test_scenario.py \
        tests/testbed/test_scenario_answers.py
fi
