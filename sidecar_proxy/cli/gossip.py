"""`python3 -m sidecar_proxy gossip …`: keys, certificates, who is turned off, and what a sidecar knows."""

from __future__ import annotations

import argparse
import json
import random
import socket
import sys
import time

from nacl.signing import SigningKey

from sidecar_proxy.gossip import codec, files
from sidecar_proxy.gossip.keys import issue_certificate

TIMEOUT_S = 10.0
DAY_S = 86_400


def keygen(told: argparse.Namespace) -> int:
    key = SigningKey.generate()
    files.put(told.file, key.encode().hex() + "\n", secret=True)
    files.put(told.file + ".pub", key.verify_key.encode().hex() + "\n")
    print(f"{told.file}: the private key; {told.file}.pub: the public one")
    return 0


def certify_key(told: argparse.Namespace) -> int:
    fleet, key = files.private(told.fleet_key), files.public(told.public_key)
    serial = told.serial or random.SystemRandom().randrange(1, 1 << 48)
    one = issue_certificate(fleet, serial, told.name, told.site, key, int(time.time()) + told.days * DAY_S)
    data = codec.encode(one)
    codec.certificates.decode(data)  # a name that no peer would take is told now
    files.put(told.out, data.hex() + "\n", replace=told.replace)
    print(f"{told.out}: {told.name} of {told.site}, serial {serial}, for {told.days} days")
    return 0


def revoke(told: argparse.Namespace) -> int:
    serial = told.serial or files.certificate(told.certificate).serial
    if serial in files.revoked(told.list):
        print(f"{told.list}: {serial} is there already")
        return 0
    with open(told.list, "a") as file:
        file.write(f"{serial}\n")
    print(f"{told.list}: {serial} added; sidecars that name this file stop listening to it within a second")
    return 0


def members(told: argparse.Namespace) -> int:
    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(TIMEOUT_S)
        one.connect(told.socket)
        with one.makefile("rb") as file:
            found = json.loads(file.read())
    if told.json:
        print(json.dumps(found))
        return 0
    host, port = found["address"]
    print(
        f"{found['name']} of {found['site']} at {host}:{port}, incarnation {found['incarnation']}, local "
        f"health {found['health']} (0 is well); {found['instances']} instances to the decisions"
    )
    for peer in found["peers"]:
        accused = f", accused by {', '.join(peer['accusers'])}" if peer["accusers"] else ""
        print(
            f"{peer['name']}  {peer['life']}  {peer['site']}  {peer['address'][0]}:{peer['address'][1]}  "
            f"serial {peer['serial']}{accused}"
        )
    for node, told_of in found["nodes"].items():
        by = ", ".join(
            f"{author} ({one['site']}): run {one['run']}, well {one['well']}"
            for author, one in told_of["by"].items()
        )
        print(f"node {node}: weight {told_of['weight']}; {by}")
    for name in ("counts", "refused"):
        shown = ", ".join(f"{value} {key}" for key, value in sorted(found[name].items()))
        print(f"{name}: {shown or 'none'}")
    return 0


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="python3 -m sidecar_proxy gossip", description=__doc__)
    commands = parser.add_subparsers(required=True)
    one = commands.add_parser("keygen", help="a new key pair, for the fleet or an instance")
    one.add_argument("file")
    one.set_defaults(run=keygen)
    one = commands.add_parser("certify", help="the fleet's word for an instance's key")
    one.add_argument("fleet_key", help="the fleet's private key")
    one.add_argument("public_key", help="the instance's FILE.pub")
    one.add_argument("name")
    one.add_argument("site")
    one.add_argument("out")
    one.add_argument("--days", type=int, default=90)
    one.add_argument("--serial", type=int, default=0)
    one.add_argument("--replace", action="store_true", help="in place of the certificate that is there")
    one.set_defaults(run=certify_key)
    one = commands.add_parser("revoke", help="stop listening to a certificate")
    one.add_argument("list", help="the file that gossip.revoked_file names")
    one.add_argument("certificate", nargs="?", help="its file")
    one.add_argument("--serial", type=int, default=0)
    one.set_defaults(run=revoke)
    one = commands.add_parser("members", help="what a running sidecar knows of the others (gossip.socket)")
    one.add_argument("socket")
    one.add_argument("--json", action="store_true")
    one.set_defaults(run=members)
    told = parser.parse_args(arguments)
    if told.run is revoke and not told.certificate and not told.serial:
        parser.error("revoke: expected a certificate's file or --serial")
    try:
        return int(told.run(told))
    except (files.FileError, OSError, ValueError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 1
