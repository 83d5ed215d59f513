"""Aggregation of the peers' outlier reports into one weight per upstream, 0 (healthy) to 1 (failing).

A weight is a trimmed mean of votes: the highest votes are dropped, so that an equal number of instances that
report falsely can't raise it. docs/design/gossip.md has the argument. Times are passed in; the module does no
I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from sidecar_proxy.gossip.codec import OutlierReport, UpstreamReport
from sidecar_proxy.gossip.observations import FULL_VOTE_FAILURES, WINDOW_US

FULL_STRENGTH_ATTEMPTS = 4  # number of attempts from which a vote has its full strength
MIN_HEALTHY_VOTES = 2  # healthy votes of the own site from which the votes of other sites are ignored
VOTERS_PER_BYZANTINE = 5  # number of voters for each one that may report falsely


class Vote(NamedTuple):
    """A vote on an upstream. Votes are ordered by `failing`, then by `strength`."""

    failing: float  # 0 (healthy) to 1 (failing)
    strength: float  # 0 to 1


@dataclass(slots=True)
class ReceivedReport:
    """One peer's report on one upstream."""

    site: str  # site of the peer
    upstream: UpstreamReport
    last_attempt_us: int  # end of the last reported attempt, by this instance's monotonic clock

    def vote(self, now_us: int) -> Vote:
        """Return the report's vote; its strength increases with the attempts and decreases with age."""
        freshness = 1.0 - (now_us - self.last_attempt_us) / WINDOW_US
        known_attempts = max(self.upstream.attempts, self.upstream.consecutive_failures)
        attempts = min(known_attempts, FULL_STRENGTH_ATTEMPTS)
        strength = max(0.0, freshness) * attempts / (attempts + 1)
        return Vote(min(1.0, self.upstream.consecutive_failures / FULL_VOTE_FAILURES), strength)


@dataclass(slots=True)
class ReportAggregator:
    """The latest reports of the peers, and the weights of the upstreams."""

    site: str  # site of this instance
    # latest reports, by upstream and author
    by_upstream: dict[str, dict[str, ReceivedReport]] = field(default_factory=dict)
    _upstreams_by_author: dict[str, tuple[str, ...]] = field(default_factory=dict)

    def add(self, author: str, site: str, report: OutlierReport, now_us: int) -> list[str]:
        """Replace an author's report; return the upstreams of the old and the new report."""
        affected = self.remove_author(author)
        for upstream in report.upstreams:
            age_us = upstream.age_ms * 1000
            if age_us < WINDOW_US:
                by_author = self.by_upstream.setdefault(upstream.name, {})
                by_author[author] = ReceivedReport(site, upstream, now_us - age_us)
        names = tuple(upstream.name for upstream in report.upstreams)
        self._upstreams_by_author[author] = names
        return [*affected, *(name for name in names if name not in affected)]

    def remove_author(self, author: str) -> list[str]:
        """Remove an author's report; return the upstreams of this report."""
        names = list(self._upstreams_by_author.pop(author, ()))
        for name in names:
            by_author = self.by_upstream.get(name, {})
            by_author.pop(author, None)
            if not by_author:
                self.by_upstream.pop(name, None)
        return names

    def expire(self, now_us: int) -> None:
        """Remove the reports that are older than the window."""
        for name, by_author in list(self.by_upstream.items()):
            expired = [
                author for author, report in by_author.items() if now_us - report.last_attempt_us >= WINDOW_US
            ]
            for author in expired:
                del by_author[author]
            if not by_author:
                del self.by_upstream[name]

    def weight(self, upstream: str, started_ms: int, sites: Mapping[str, int], now_us: int) -> float:
        """Return the weight of an upstream, 0 (healthy) to 1 (failing).

        Reports on the upstream before its last start are ignored. `sites` has the number of live instances of
        each site, without this instance. The weight is the higher one of two trimmed means: of the votes of
        the own site, one per instance; and of the votes of all sites, one per site, as few instances of a
        site use the same upstream. The second mean is ignored if enough instances of the own site report
        only successes.
        """
        votes_by_site: dict[str, list[Vote]] = {}
        healthy_votes = 0
        for report in self.by_upstream.get(upstream, {}).values():
            if report.upstream.started_ms != started_ms:
                continue
            vote = report.vote(now_us)
            if vote.strength <= 0.0:
                continue
            votes_by_site.setdefault(report.site, []).append(vote)
            if report.site == self.site and report.upstream.consecutive_failures == 0:
                healthy_votes += 1
        own_site_weight = trimmed_mean(votes_by_site.get(self.site, []), sites.get(self.site, 0))
        if healthy_votes >= MIN_HEALTHY_VOTES:
            return own_site_weight
        site_votes = [Vote(weighted_mean(votes), 1.0) for votes in votes_by_site.values()]
        return max(own_site_weight, trimmed_mean(site_votes, len(sites)))


def max_byzantine_voters(voters: int) -> int:
    """Return the number of Byzantine voters that are tolerated: they can't raise a weight."""
    return max(1, voters // VOTERS_PER_BYZANTINE)


def trimmed_mean(votes: Iterable[Vote], voters: int) -> float:
    """Return the weighted mean of the votes without the highest ones, one per tolerated Byzantine voter.

    `voters` is the number of instances or sites that could have voted.
    """
    return weighted_mean(sorted(votes, reverse=True)[max_byzantine_voters(voters) :])


def weighted_mean(votes: Collection[Vote]) -> float:
    """Return the mean weighted by strength, scaled down if even the strongest vote is weak."""
    total_strength = sum(vote.strength for vote in votes)
    if total_strength <= 0.0:
        return 0.0
    strongest = max(vote.strength for vote in votes)
    weighted_sum = sum(vote.failing * vote.strength for vote in votes)
    return weighted_sum / total_strength * min(1.0, 2 * strongest)
