"""Gossip of sidecar processes: joins, revocation, key rotation, faults, unusable operator files."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sidecar_proxy.cli.gossip import main
from sidecar_proxy.gossip import files
from sidecar_proxy.testbed.gossip import Keys
from sidecar_proxy.testbed.scenario import Plan, settings
from tests.gossip.sidecars import gossip_addresses, gossiping_sidecar, members_output
from tests.sockets import LONG_S, ROOT, Discovery, Sidecar, Upstream, eventually


def server_error(request: object, client: object) -> bytes:
    return b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"


def reported_failures(keys: Keys, name: str, upstream: str, author: str) -> int:
    """Return the consecutive failures of an upstream that an author has reported to a sidecar, 0 if none."""
    status = json.loads(members_output(keys, name, "--json"))
    failures: int = status["nodes"].get(upstream, {"by": {}})["by"].get(author, {"run": 0})["run"]
    return failures


def test_sidecars_join_report_failures_and_reject_a_revoked_peer(tmp_path: Path) -> None:
    keys = Keys(str(tmp_path))
    with (
        Upstream(script=server_error) as failing,
        gossiping_sidecar([failing], keys, "one", []) as one,
        gossiping_sidecar([failing], keys, "two", gossip_addresses(one)) as two,
    ):
        eventually(lambda: "two  alive" in members_output(keys, "one"))
        assert two.request("POST", "/pay/7", b"x").status == 502
        eventually(lambda: reported_failures(keys, "one", failing.name, "two") == 1)
        for _ in range(2):
            assert two.request("POST", "/pay/7", b"x").status == 502
        eventually(lambda: reported_failures(keys, "one", failing.name, "two") >= 2)
        assert f"node {failing.name}: weight" in members_output(keys, "one")
        status = json.loads(members_output(keys, "one", "--json"))
        assert status["nodes"][failing.name]["by"]["two"]["run"] >= 2
        assert status["nodes"][failing.name]["weight"] == 0.0  # one report alone raises no weight
        serial = next(peer["serial"] for peer in status["peers"] if peer["name"] == "two")
        assert main(["revoke", str(tmp_path / "revoked"), "--serial", str(serial)]) == 0
        eventually(lambda: " revoked" in members_output(keys, "one").splitlines()[-1])


def trusts_fleet_keys(sidecar: Sidecar, count: int) -> bool:
    return any(f"{count} fleet keys" in line for line in sidecar.log_lines)


def replace_certificate(folder: Path, fleet_key: Path, name: str, serial: int) -> None:
    """Replace a sidecar's key, and then its certificate by one that a fleet key signs for the new key."""
    key = folder / f"{name}2"
    assert main(["keygen", str(key)]) == 0
    os.replace(key, folder / f"{name}.key")
    certify = ["certify", str(fleet_key), f"{key}.pub", name, "s", str(folder / f"{name}.cert")]
    assert main([*certify, "--serial", str(serial), "--replace"]) == 0


def test_fleet_key_rotation_needs_no_restart(tmp_path: Path) -> None:
    keys, old_public, new = Keys(str(tmp_path)), tmp_path / "fleet.pub", tmp_path / "new"
    assert main(["keygen", str(new)]) == 0
    new_public = Path(f"{new}.pub").read_text()
    with (
        Upstream(b"ok") as upstream,
        gossiping_sidecar([upstream], keys, "one", []) as one,
        gossiping_sidecar([upstream], keys, "two", gossip_addresses(one)) as two,
    ):
        eventually(lambda: "two  alive" in members_output(keys, "one"))
        both = old_public.read_text().strip() + "\n" + new_public
        files.write_file(str(old_public), both, replace=True)
        eventually(lambda: trusts_fleet_keys(one, 2) and trusts_fleet_keys(two, 2))
        files.write_file(str(tmp_path / "one.cert"), "00", replace=True)
        eventually(lambda: any("keeping the previous credentials" in line for line in one.log_lines))
        for number, name in enumerate(("one", "two")):
            replace_certificate(tmp_path, new, name, 100 + number)
            statuses = [sidecar.request("POST", "/pay/7", b"x").status for sidecar in (one, two)]
            assert statuses == [200, 200]
        eventually(lambda: "serial 101" in members_output(keys, "one"))
        eventually(lambda: "serial 100" in members_output(keys, "two"))
        files.write_file(str(old_public), new_public, replace=True)
        eventually(lambda: trusts_fleet_keys(one, 1) and trusts_fleet_keys(two, 1))
        assert "two  alive" in members_output(keys, "one")


def test_commands_create_certify_and_revoke_keys(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    fleet, own, certificate = (str(tmp_path / name) for name in ("fleet", "own", "own.cert"))
    revoked = tmp_path / "revoked"
    assert main(["keygen", fleet]) == 0
    assert main(["keygen", own]) == 0
    assert main(["keygen", own]) == 1  # an existing key is never overwritten
    assert (tmp_path / "own").stat().st_mode & 0o077 == 0
    assert main(["certify", fleet, own + ".pub", "n0", "makati", certificate, "--days", "7"]) == 0
    assert main(["certify", own + ".pub", own + ".pub", "n0", "makati", certificate + "2"]) == 1
    assert main(["revoke", str(revoked), certificate]) == 0
    assert main(["revoke", str(revoked), certificate]) == 0
    assert len(revoked.read_text().splitlines()) == 1
    assert main(["members", str(tmp_path / "nowhere")]) == 1
    printed = capsys.readouterr()
    assert "n0 of makati" in printed.out
    assert "it is there already" in printed.err
    assert "Traceback" not in printed.err


def write_operator_file(folder: Path, certified_key: str, changes: dict[str, Any]) -> None:
    """Write `operator.toml` with a key, a certificate and some changes; None omits a setting."""
    key = str(folder / "k")
    assert main(["keygen", key]) == 0
    assert main(["keygen", str(folder / "other")]) == 0
    certify = ["certify", key, str(folder / f"{certified_key}.pub"), "n", "s", key + ".cert"]
    assert main(certify) == 0
    table: dict[str, Any] = {
        "bind": "127.0.0.1:0",
        "key_file": key,
        "certificate_file": key + ".cert",
        "fleet_keys": [key + ".pub"],
    }
    table |= changes
    lines = [f"{name} = {json.dumps(value)}" for name, value in table.items() if value is not None]
    text = "[gossip]\n" + "\n".join(lines)
    (folder / "operator.toml").write_text(text.replace("KEY", key))


def start_daemon(folder: Path) -> subprocess.CompletedProcess[str]:
    """Run a daemon that is expected to exit by itself."""
    (folder / "config.json").write_text(json.dumps({"seed": "1", "settings": settings(Plan(), 0)}))
    env = os.environ | {
        "PROXY_NAME": "n",
        "PROXY_LISTEN": "127.0.0.1:0",
        "PROXY_DISCOVERY": "127.0.0.1:9",
        "PROXY_CONFIG": str(folder / "config.json"),
        "SIDECAR_PROXY_OPERATOR": str(folder / "operator.toml"),
    }
    return subprocess.run(
        [sys.executable, "-m", "sidecar_proxy.daemon"],
        cwd=ROOT,
        env=env,
        text=True,
        capture_output=True,
        timeout=LONG_S,
    )


@pytest.mark.parametrize(
    ("changes", "error", "certified_key"),
    [
        ({"key_file": None}, "gossip.key_file: missing; gossip.bind needs it", "k"),
        ({"key_file": "/nowhere"}, "gossip: /nowhere: No such file", "k"),
        ({"certificate_file": "KEY.pub"}, "no certificate", "k"),
        ({}, "gossip.certificate_file", "other"),
        ({"bind": "here"}, "gossip.bind: ", "k"),
        ({"seeds": ["x"]}, "gossip.seeds: ", "k"),
        ({"bind": "0.0.0.0:0"}, "gossip.bind: expected an address that the others reach", "k"),
        ({"advertise": "a.example:7"}, "gossip.advertise: expected an address", "k"),
        ({"bind": "192.0.2.1:7000"}, "gossip.bind: ", "k"),  # not an address of this machine
    ],
)
def test_start_with_unusable_operator_file_fails_with_a_one_line_error(
    changes: dict[str, Any], error: str, certified_key: str, tmp_path: Path
) -> None:
    write_operator_file(tmp_path, certified_key, changes)
    completed = start_daemon(tmp_path)
    assert completed.returncode == 2, completed.stderr
    assert len(completed.stderr.splitlines()) == 1, completed.stderr
    assert error in completed.stderr


def test_fault_in_gossip_fails_no_request(tmp_path: Path) -> None:
    code = (
        "import sys; from sidecar_proxy.gossip.instance import GossipInstance\n"
        "def fault(*_): raise RuntimeError('a fault')\n"
        "GossipInstance.record_attempt = fault\n"
        "from sidecar_proxy.daemon.__main__ import main; sys.exit(main())"
    )
    path = tmp_path / "one.toml"
    path.write_text(Keys(str(tmp_path)).table("one", "s", []))
    with Upstream(b"ok") as upstream, Discovery([upstream.entry()]) as discovery:
        sidecar = Sidecar([upstream], discovery, env={"SIDECAR_PROXY_OPERATOR": str(path)})
        sidecar.command = f'exec {sys.executable} -B -c "$CODE"'
        sidecar.env["CODE"] = code
        with sidecar:
            assert [sidecar.request("POST", "/pay/7", b"x").status for _ in range(5)] == [200] * 5
            logged = [line for line in sidecar.log_lines if "recording of outcomes failed" in line]
            assert len(logged) == 1
            sidecar.log_lines.clear()  # the expected traceback
