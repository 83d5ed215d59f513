"""Recognition of a late second copy of a response by its content.

Where upstreams never give two equal responses in a row, e.g. as each names its request, a response that
equals the previous one on its connection is a second copy of it. Whether they do is learned from the
responses of all upstreams, as these are replicas of one service.
"""

from __future__ import annotations

MIN_PAIRS = 32  # number of pairs of successive responses from which it is known whether responses repeat
MAX_COPY_SHARE = 0.5  # share of equal pairs above which they can't all be second copies


class RepeatedResponses:
    """Whether successive responses are ever equal."""

    def __init__(self) -> None:
        self._pairs = 0
        self._equal_pairs = 0
        self._has_repeated = False  # whether two responses to different requests were equal

    @property
    def is_known(self) -> bool:
        """Whether it is known if responses repeat."""
        return self._has_repeated or self._pairs >= MIN_PAIRS

    @property
    def do_repeat(self) -> bool:
        """Whether responses are known to repeat."""
        return self._has_repeated or self._equal_pairs > MAX_COPY_SHARE * self._pairs

    def record(self, previous: int | None, current: int | None, is_own_response: bool) -> None:
        """Record the digests of two successive responses of a connection; None = there is none.

        `is_own_response` tells whether the second one is certainly the response to its request.
        """
        if previous is None or current is None:
            return
        self._pairs += 1
        if previous == current:
            self._equal_pairs += 1
            self._has_repeated = self._has_repeated or is_own_response

    def is_copy(self, previous: int | None, current: int | None) -> bool:
        """Return whether a response that may not be the own one is a second copy of the previous one."""
        if current is None or previous != current:
            return False
        return self.is_known and not self.do_repeat
