#!/bin/sh
# After the build of the deploy file: adds the project's own extras to .venv, as an operator does who turns on
# gossip, agreement and etcd, and checks that the stand-ins of the second review can be loaded. Case 6 uses the
# stand-ins of the first review, which need the interpreter alone.
set -eu
cd "$(dirname "$0")/.."
python=.venv/bin/python
pins=$("$python" -c '
import tomllib
told = tomllib.load(open("pyproject.toml", "rb"))["project"]["optional-dependencies"]
print(" ".join(dict.fromkeys(pin for extra in ("gossip", "grpc", "etcd") for pin in told[extra])))')
# word by word: each is one pin
"$python" -m pip install --quiet --disable-pip-version-check $pins ||
    echo "review/build-2.sh: the extras can't be installed; cases 7, 9 and 10 can't run without them" >&2
(cd review && python3 -B -c "import standins.case, standins.client, standins.discovery, standins.sidecar, standins.upstream")
"$python" -B -c 'import sys; sys.path.insert(0, "review/common-2"); import rig'
"$python" -B -c 'import nacl, sidecar_proxy.testbed.etcd' ||
    echo "review/build-2.sh: the extras are not there; cases 7, 9 and 10 will exit with 2" >&2
for file in review/common-2/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    "$python" -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "review/build-2.sh: the stand-ins are ready"
