"""Observations, outlier reports and weights: tolerated Byzantine instances do not raise a weight."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.balancer.events import Outcome
from sidecar_proxy.balancer.outlier_detection import MIN_REPORT_WEIGHT
from sidecar_proxy.gossip.broadcasts import MAX_PIGGYBACKED_BYTES, encoded_size
from sidecar_proxy.gossip.codec import (
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    MAX_REPORTED_UPSTREAMS,
    OutlierReport,
    SignedStatement,
    UpstreamReport,
    encode,
)
from sidecar_proxy.gossip.observations import WINDOW_US, LocalObservations
from sidecar_proxy.gossip.outlier_reports import ReportAggregator, Vote, max_byzantine_voters, trimmed_mean
from sidecar_proxy.testbed.client_fleet import BORN_MS, Fleet

NOW_US = 100_000_000


def report_on(
    failures: int, successes: int = 0, upstream: str = "n", started_ms: int = BORN_MS, age_ms: int = 0
) -> UpstreamReport:
    """Return a report of consecutive timeouts after some successes."""
    return UpstreamReport(
        upstream, started_ms, failures + successes, failures, 0, 0, successes, failures, age_ms
    )


def weight_of(
    reports_by_site: dict[str, list[UpstreamReport]], site: str = "here", site_size: int = 10
) -> float:
    """Return the weight of upstream `n` from the reports of instances of some sites."""
    aggregator = ReportAggregator(site)
    for voting_site, reports in reports_by_site.items():
        for number, report in enumerate(reports):
            aggregator.add(f"{voting_site}-{number}", voting_site, OutlierReport([report]), NOW_US)
    return aggregator.weight("n", BORN_MS, dict.fromkeys([*reports_by_site, site], site_size), NOW_US)


@given(
    voters=st.integers(1, 60),
    honest=st.lists(st.integers(0, 9), max_size=40),
    false_votes=st.lists(st.tuples(st.integers(0, 1000), st.integers(0, 9999)), max_size=12),
)
def test_tolerated_number_of_byzantine_voters_raises_no_weight(
    voters: int, honest: list[int], false_votes: list[tuple[int, int]]
) -> None:
    """Whatever they report, if the honest instances see only successes or do not use the upstream."""
    votes = [Vote(0.0, min(1.0, successes / 10)) for successes in honest]
    votes += [
        Vote(min(1.0, failures), strength / 9999)
        for failures, strength in false_votes[: max_byzantine_voters(voters)]
    ]
    assert trimmed_mean(votes, voters) == 0.0


@given(
    st.lists(st.builds(Vote, st.floats(0, 1), st.floats(0, 1)), max_size=30),
    st.integers(1, 60),
)
def test_weight_is_within_0_and_1_and_a_failing_vote_never_lowers_it(votes: list[Vote], voters: int) -> None:
    weight = trimmed_mean(votes, voters)
    assert 0.0 <= weight <= 1.0
    assert trimmed_mean([*votes, Vote(1.0, 1.0)], voters) >= weight - 1e-9


def test_several_instances_of_the_own_site_raise_a_weight_and_one_or_two_do_not() -> None:
    assert weight_of({"here": [report_on(5)]}) == 0.0
    assert weight_of({"here": [report_on(5), report_on(9)]}) == 0.0
    assert weight_of({"here": [report_on(5)] * 5}) > 0.5


def test_reports_of_few_attempts_have_little_strength() -> None:
    many_successes, one_success = [report_on(0, 9)] * 3, [report_on(0, 1)] * 3
    one_failure, three_failures = [report_on(1)] * 5, [report_on(3)] * 5
    assert weight_of({"here": one_failure + many_successes}) < weight_of(
        {"here": three_failures + many_successes}
    )
    assert weight_of({"here": three_failures + many_successes}) < weight_of(
        {"here": three_failures + one_success}
    )


def test_one_instance_with_successes_outweighs_three_byzantine_ones_of_the_own_site() -> None:
    assert weight_of({"here": [report_on(1000)] * 3 + [report_on(0, 3)]}) < MIN_REPORT_WEIGHT


def test_three_byzantine_instances_of_one_other_site_raise_no_weight() -> None:
    assert weight_of({"there": [report_on(1000)] * 3}) == 0.0


def test_successes_in_the_own_site_override_reports_of_other_sites() -> None:
    failing = [report_on(5)] * 8
    healthy = [report_on(0, 5), report_on(0, 2)]
    assert weight_of({"one": failing, "two": failing, "three": failing, "here": healthy}) == 0.0
    assert weight_of({"one": failing, "two": failing, "three": failing}) > 0.5


def test_reports_lose_strength_with_age_and_are_ignored_after_a_restart_of_the_upstream() -> None:
    aggregator = ReportAggregator("here")
    for number in range(6):
        aggregator.add(f"i{number}", "here", OutlierReport([report_on(5)]), NOW_US)
    sites = {"here": 10}
    fresh = aggregator.weight("n", BORN_MS, sites, NOW_US)
    assert aggregator.weight("n", BORN_MS + 1, sites, NOW_US) == 0.0
    assert 0.0 < aggregator.weight("n", BORN_MS, sites, NOW_US + WINDOW_US // 2) < fresh
    aggregator.expire(NOW_US + WINDOW_US)
    assert not aggregator.by_upstream
    too_old = OutlierReport([report_on(5, age_ms=WINDOW_US)])
    assert aggregator.add("i1", "here", too_old, NOW_US) == ["n"]
    assert not aggregator.by_upstream


def test_report_replaces_its_author_s_previous_one() -> None:
    aggregator = ReportAggregator("here")
    aggregator.add("i1", "here", OutlierReport([report_on(5), report_on(5, upstream="m")]), NOW_US)
    second = OutlierReport([report_on(0, 1, upstream="m")])
    assert aggregator.add("i1", "here", second, NOW_US) == ["n", "m"]
    assert list(aggregator.by_upstream) == ["m"]
    assert aggregator.remove_author("i1") == ["m"]
    assert not aggregator.by_upstream


def reported_names(observations: LocalObservations, now_us: int) -> list[str]:
    return [upstream.name for upstream in observations.report(now_us).upstreams]


def test_report_has_failing_upstreams_first_and_never_more_than_fit() -> None:
    observations = LocalObservations()
    assert observations.record("good", 1, Outcome.OK, 1) is False  # no need to report it
    assert observations.record("bad", 1, Outcome.TIMEOUT, 2) is True
    assert observations.record("bad", 1, Outcome.FULL, 3) is False
    assert observations.record("bad", 1, Outcome.NOT_SENT, 3) is False
    assert reported_names(observations, 4) == ["bad"]
    observations.contradicted["good"] = None
    assert reported_names(observations, 4) == ["bad", "good"]
    assert observations.record("bad", 1, Outcome.OK, 5) is True
    assert reported_names(observations, 6)[0] == "good"
    for number in range(50):
        observations.record(f"n{number}", 1, Outcome.RESET, 10 + number)
    names = reported_names(observations, 100)
    assert len(names) == MAX_REPORTED_UPSTREAMS
    assert "good" in names
    assert observations.record("bad", 2, Outcome.ERROR, 20) is True  # the upstream has restarted
    assert not reported_names(observations, WINDOW_US + 200)


def test_report_of_the_longest_names_fits_on_a_packet() -> None:
    observations = LocalObservations()
    for number in range(MAX_REPORTED_UPSTREAMS):
        name = str(number) * MAX_NAME_LENGTH
        observations.record(name, MAX_INTEGER, Outcome.RESET, number)
    # Peers would reject the complete report if it had a longer name.
    assert not observations.record("x" * (MAX_NAME_LENGTH + 1), 1, Outcome.RESET, 99)
    report = observations.report(100)
    assert len(report.upstreams) >= 4
    statement = SignedStatement("a" * MAX_NAME_LENGTH, MAX_INTEGER, encode(report), bytes(64))
    assert encoded_size(statement) <= MAX_PIGGYBACKED_BYTES


def fleet_after_15_s(count: int, sites: int) -> Fleet:
    fleet = Fleet(count, sites)
    fleet.run(15.0)
    assert fleet.knows_all()
    return fleet


def test_failing_upstream_is_known_to_all_within_seconds_and_so_is_its_recovery() -> None:
    fleet = fleet_after_15_s(40, 2)
    begin_us = fleet.now_us
    for number in range(16):
        fleet.attempt(fleet.at(number), "n1", Outcome.TIMEOUT)
        fleet.run(0.02)
        fleet.attempt(fleet.at(number), "n1", Outcome.TIMEOUT)
    fleet.run(2.0)
    assert all(member.weights.get("n1", 0.0) >= MIN_REPORT_WEIGHT for member in fleet.all())
    assert max(member.heard_us["n1"] for member in fleet.all()) - begin_us < 3_000_000
    for number in range(16):
        fleet.attempt(fleet.at(number), "n1", Outcome.OK)
    fleet.run(2.0)
    assert all(member.weights.get("n1", 0.0) == 0.0 for member in fleet.all())


def test_one_byzantine_instance_of_fifty_raises_no_weight_if_nobody_else_reports() -> None:
    fleet = fleet_after_15_s(50, 5)
    byzantine = fleet.at(11)
    for round_number in range(20):
        report = OutlierReport([report_on(1000 + round_number, upstream=name) for name in fleet.nodes])
        fleet.perform(byzantine, byzantine.instance.publish_report(report, fleet.now_us))
        fleet.run(0.3)
    assert not any(weight for member in fleet.all() for weight in member.weights.values())
    assert any("n1" in member.instance.aggregator.by_upstream for member in fleet.all())


def test_instance_with_a_success_contradicts_the_reports_of_others() -> None:
    fleet = fleet_after_15_s(12, 1)
    fleet.attempt(fleet.at(0), "n1", Outcome.OK)
    for number in (3, 4, 5, 6):
        fleet.attempt(fleet.at(number), "n1", Outcome.TIMEOUT)
        fleet.attempt(fleet.at(number), "n1", Outcome.TIMEOUT)
    fleet.run(2.0)
    report = fleet.at(9).instance.aggregator.by_upstream["n1"]["i0"].upstream
    assert (report.consecutive_failures, report.successes) == (0, 1)
