"""The reports received from peers."""

from __future__ import annotations

import pytest

from sidecar_proxy.overload_control import peer_reports
from sidecar_proxy.overload_control.peer_reports import PeerReports, report_interval_us
from tests.overload_control.reports import make_report


@pytest.fixture
def peers() -> PeerReports:
    return PeerReports(own_name="s1", own_index=1)


def test_own_report_is_not_recorded(peers: PeerReports) -> None:
    assert not peers.add("s1", make_report(1), 0)
    assert len(peers) == 0


def test_later_report_replaces_the_earlier_one_of_its_author(peers: PeerReports) -> None:
    assert peers.add("s2", make_report(2, generation=4), 0)
    assert peers.add("s2", make_report(2, generation=5), 10)
    assert peers.by_name["s2"].generation == 5
    assert peers.ages_us(30) == {"s2": 20}


def test_new_author_beyond_the_limit_is_not_recorded(
    peers: PeerReports, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(peer_reports, "MAX_PEERS", 2)
    assert peers.add("s2", make_report(2), 0)
    assert peers.add("s3", make_report(3), 0)
    assert not peers.add("s4", make_report(4), 0)
    assert peers.add("s3", make_report(3), 1)


def test_report_older_than_the_limit_is_removed(peers: PeerReports) -> None:
    peers.add("s2", make_report(2), 0)
    peers.add("s3", make_report(3), 1)
    peers.remove_older(100, 101)
    assert list(peers.by_name) == ["s3"]


def test_removed_peer_has_no_report(peers: PeerReports) -> None:
    peers.add("s2", make_report(2), 0)
    peers.remove("s2")
    peers.remove("s2")
    assert peers.by_name == {}


def test_index_conflict_goes_to_the_earlier_name(peers: PeerReports) -> None:
    peers.add("s9", make_report(1), 0)
    assert not peers.has_index_conflict()
    peers.add("s0", make_report(1), 0)
    assert peers.has_index_conflict()
    assert peers.claims_own_index("s0")
    assert not peers.claims_own_index("s9")


def test_rejections_of_any_peer_are_seen(peers: PeerReports) -> None:
    peers.add("s2", make_report(2), 0)
    assert not peers.has_rejections()
    peers.add("s3", make_report(3, rejected_per_1000_s=1), 0)
    assert peers.has_rejections()


@pytest.mark.parametrize(("instances", "interval_us"), [(1, 1_000_000), (20, 1_000_000), (100, 5_000_000)])
def test_sidecars_of_a_large_fleet_report_less_often(instances: int, interval_us: int) -> None:
    assert report_interval_us(instances) == interval_us
