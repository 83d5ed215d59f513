"""`python3 -m sidecar_proxy gossip …`: keys, certificates, revocation, and the peers that a sidecar knows."""

from __future__ import annotations

import argparse
import json
import random
import socket
import sys
import time
from typing import Any

from nacl.signing import SigningKey

from sidecar_proxy.gossip import codec, files
from sidecar_proxy.gossip.keys import issue_certificate

STATUS_TIMEOUT_S = 10.0
DAY_S = 86_400
SERIAL_LIMIT = 1 << 48  # random serials are below this number


def generate_key(arguments: argparse.Namespace) -> int:
    """Write a new private key and its public key. Raises FileError."""
    key = SigningKey.generate()
    files.write_file(arguments.file, key.encode().hex() + "\n", secret=True)
    files.write_file(arguments.file + ".pub", key.verify_key.encode().hex() + "\n")
    print(f"{arguments.file}: the private key; {arguments.file}.pub: the public one")
    return 0


def certify_key(arguments: argparse.Namespace) -> int:
    """Write a certificate for an instance's key. Raises FileError, and ValueError for an invalid name."""
    fleet_key = files.read_private_key(arguments.fleet_key)
    public_key = files.read_public_key(arguments.public_key)
    serial = arguments.serial or random.SystemRandom().randrange(1, SERIAL_LIMIT)
    until_s = int(time.time()) + arguments.days * DAY_S
    certificate = issue_certificate(fleet_key, serial, arguments.name, arguments.site, public_key, until_s)
    data = codec.encode(certificate)
    codec.certificate_decoder.decode(data)  # raises ValueError for a name that every peer would reject
    files.write_file(arguments.out, data.hex() + "\n", replace=arguments.replace)
    print(
        f"{arguments.out}: {arguments.name} of {arguments.site}, serial {serial}, for {arguments.days} days"
    )
    return 0


def revoke(arguments: argparse.Namespace) -> int:
    """Add a certificate's serial to the revocation list. Raises FileError and OSError."""
    serial = arguments.serial or files.read_certificate(arguments.certificate).serial
    if serial in files.read_revoked_serials(arguments.list):
        print(f"{arguments.list}: {serial} is there already")
        return 0
    with open(arguments.list, "a") as file:
        file.write(f"{serial}\n")
    print(
        f"{arguments.list}: {serial} added; sidecars that name this file stop listening to it within a second"
    )
    return 0


def show_members(arguments: argparse.Namespace) -> int:
    """Print the peers of a running sidecar, and their reports on upstreams. Raises OSError."""
    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(STATUS_TIMEOUT_S)
        connection.connect(arguments.socket)
        with connection.makefile("rb") as file:
            status = json.loads(file.read())
    if arguments.json:
        print(json.dumps(status))
    else:
        _print_status(status)
    return 0


def _print_status(status: dict[str, Any]) -> None:
    host, port = status["address"]
    print(
        f"{status['name']} of {status['site']} at {host}:{port}, incarnation {status['incarnation']}, local "
        f"health {status['health']} (0 is well); {status['instances']} instances to the decisions"
    )
    for peer in status["peers"]:
        suspecters = f", accused by {', '.join(peer['accusers'])}" if peer["accusers"] else ""
        print(
            f"{peer['name']}  {peer['life']}  {peer['site']}  {peer['address'][0]}:{peer['address'][1]}  "
            f"serial {peer['serial']}{suspecters}"
        )
    for upstream, reported in status["nodes"].items():
        reports = ", ".join(
            f"{author} ({report['site']}): run {report['run']}, well {report['well']}"
            for author, report in reported["by"].items()
        )
        print(f"node {upstream}: weight {reported['weight']}; {reports}")
    for name in ("counts", "refused"):
        shown = ", ".join(f"{value} {key}" for key, value in sorted(status[name].items()))
        print(f"{name}: {shown or 'none'}")


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python3 -m sidecar_proxy gossip", description=__doc__)
    commands = parser.add_subparsers(required=True)
    keygen = commands.add_parser("keygen", help="create a key pair for the fleet or an instance")
    keygen.add_argument("file")
    keygen.set_defaults(run=generate_key)
    certify = commands.add_parser("certify", help="issue a certificate for an instance's key")
    certify.add_argument("fleet_key", help="the fleet's private key")
    certify.add_argument("public_key", help="the instance's FILE.pub")
    certify.add_argument("name")
    certify.add_argument("site")
    certify.add_argument("out")
    certify.add_argument("--days", type=int, default=90)
    certify.add_argument("--serial", type=int, default=0)
    certify.add_argument("--replace", action="store_true", help="replace an existing certificate")
    certify.set_defaults(run=certify_key)
    revocation = commands.add_parser("revoke", help="revoke a certificate")
    revocation.add_argument("list", help="the file that gossip.revoked_file names")
    revocation.add_argument("certificate", nargs="?", help="the file of the certificate")
    revocation.add_argument("--serial", type=int, default=0)
    revocation.set_defaults(run=revoke)
    members = commands.add_parser(
        "members", help="print the peers that a running sidecar knows, from its gossip.socket"
    )
    members.add_argument("socket")
    members.add_argument("--json", action="store_true")
    members.set_defaults(run=show_members)
    return parser


def main(arguments: list[str]) -> int:
    """Run the command line and return its exit status."""
    parser = _make_parser()
    parsed = parser.parse_args(arguments)
    if parsed.run is revoke and not parsed.certificate and not parsed.serial:
        parser.error("revoke: expected a certificate's file or --serial")
    try:
        return int(parsed.run(parsed))
    except (files.FileError, OSError, ValueError) as error:
        print(f"sidecar_proxy: {error}", file=sys.stderr)
        return 1
