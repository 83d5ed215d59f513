"""The latest reports of the other sidecars, until they expire."""

from __future__ import annotations

from sidecar_proxy.overload_control.messages import Report

MIN_REPORT_INTERVAL_US = 1_000_000  # minimum mean interval between two reports of one sidecar
# Maximum rate of the reports of all sidecars together. In a large fleet each sidecar reports less often.
MAX_FLEET_REPORTS_PER_S = 20
REPORT_LIFETIME_INTERVALS = 3  # a report expires after this number of report intervals
MAX_PEERS = 5000  # maximum number of peers whose reports are recorded


def report_interval_us(instances: int) -> int:
    """Returns the mean time between two reports of one sidecar in a fleet of `instances` sidecars."""
    return max(MIN_REPORT_INTERVAL_US, instances * 1_000_000 // MAX_FLEET_REPORTS_PER_S)


class PeerReports:
    """The latest report of each peer."""

    def __init__(self, own_name: str, own_index: int) -> None:
        self.own_name = own_name
        self.own_index = own_index
        self.by_name: dict[str, Report] = {}
        self.received_us: dict[str, int] = {}  # when the report in `by_name` was received, by name

    def __len__(self) -> int:
        return len(self.by_name)

    def add(self, author: str, report: Report, now_us: int) -> bool:
        """Records a report; returns False if it is this sidecar's own, or would exceed `MAX_PEERS`."""
        if author == self.own_name:
            return False
        if author not in self.by_name and len(self.by_name) >= MAX_PEERS:
            return False
        self.by_name[author] = report
        self.received_us[author] = now_us
        return True

    def remove(self, author: str) -> None:
        """Removes the report of a peer, if there is one."""
        self.by_name.pop(author, None)
        self.received_us.pop(author, None)

    def remove_older(self, max_age_us: int, now_us: int) -> None:
        """Removes the reports that are older than `max_age_us`."""
        expired = [
            name for name, received_us in self.received_us.items() if now_us - received_us > max_age_us
        ]
        for name in expired:
            self.remove(name)

    def claims_own_index(self, author: str) -> bool:
        """Returns whether a peer reports this sidecar's index and has a name that sorts before its own.

        Of two processes with the same index, the one whose name sorts first takes precedence.
        """
        return self.by_name[author].index == self.own_index and author < self.own_name

    def has_index_conflict(self) -> bool:
        """Returns whether any peer that takes precedence claims this sidecar's index."""
        return any(self.claims_own_index(name) for name in self.by_name)

    def has_rejections(self) -> bool:
        """Returns whether any peer reports that it rejects requests."""
        return any(report.rejected_per_1000_s for report in self.by_name.values())

    def ages_us(self, now_us: int) -> dict[str, int]:
        """Returns the age of each report in microseconds, by name, sorted by name."""
        return {name: now_us - received_us for name, received_us in sorted(self.received_us.items())}
