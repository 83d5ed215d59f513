"""The reports received from the other sidecars, while they are fresh."""

from __future__ import annotations

from sidecar_proxy.overload_control.messages import Report

MIN_REPORT_INTERVAL_US = 1_000_000  # between two reports of one sidecar
MAX_FLEET_REPORTS_PER_S = 20  # in a larger fleet each sidecar reports less often
FRESH_INTERVALS = 3  # for which a report counts
MAX_PEERS = 5000


def report_interval_us(instances: int) -> int:
    """Returns the mean time between two reports of one sidecar."""
    return max(MIN_REPORT_INTERVAL_US, instances * 1_000_000 // MAX_FLEET_REPORTS_PER_S)


class PeerReports:
    """The last report of each peer."""

    def __init__(self, own_name: str, own_index: int) -> None:
        self.own_name = own_name
        self.own_index = own_index
        self.by_name: dict[str, Report] = {}
        self.received_us: dict[str, int] = {}  # by name, as `by_name`

    def __len__(self) -> int:
        return len(self.by_name)

    def add(self, author: str, report: Report, now_us: int) -> bool:
        """Records a report; returns False if it is an own one, or of one peer too many."""
        if author == self.own_name:
            return False
        if author not in self.by_name and len(self.by_name) >= MAX_PEERS:
            return False
        self.by_name[author] = report
        self.received_us[author] = now_us
        return True

    def remove(self, author: str) -> None:
        """Forgets the peer's report."""
        self.by_name.pop(author, None)
        self.received_us.pop(author, None)

    def remove_older(self, max_age_us: int, now_us: int) -> None:
        """Forgets the reports that are older than `max_age_us`."""
        expired = [
            name for name, received_us in self.received_us.items() if now_us - received_us > max_age_us
        ]
        for name in expired:
            self.remove(name)

    def claims_own_index(self, author: str) -> bool:
        """Returns whether a peer reports this sidecar's index and takes precedence by its name."""
        return self.by_name[author].index == self.own_index and author < self.own_name

    def has_index_conflict(self) -> bool:
        """Returns whether any peer claims this sidecar's index with precedence."""
        return any(self.claims_own_index(name) for name in self.by_name)

    def has_rejections(self) -> bool:
        """Returns whether any peer rejects requests."""
        return any(report.rejected_per_1000_s for report in self.by_name.values())

    def ages_us(self, now_us: int) -> dict[str, int]:
        """Returns the age of each report, sorted by name."""
        return {name: now_us - received_us for name, received_us in sorted(self.received_us.items())}
