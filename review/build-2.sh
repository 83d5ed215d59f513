#!/bin/sh
# After the build of the deploy file: adds the project's own extras to .venv, as an operator does who turns on
# gossip, agreement and etcd, and checks that the stand-ins of the second review can be started.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
pins=$("$python" -c '
import tomllib
told = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(" ".join(dict.fromkeys(pin for extra in ("gossip", "grpc", "etcd") for pin in told[extra])))')
# word by word: each is one pin
"$python" -m pip install --quiet --disable-pip-version-check $pins
"$python" -B -c 'import sys; sys.path.insert(0, "review/common-2"); import rig, sidecar_proxy.testbed.etcd'
for case in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$case"
done
echo "review/build-2.sh: the stand-ins are ready"
