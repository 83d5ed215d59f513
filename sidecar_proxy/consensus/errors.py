"""The errors of consensus. Each message is one line."""

from __future__ import annotations

from pathlib import Path


class ConsensusError(Exception):
    """The base of the errors in this package."""


class CompactedError(ConsensusError):
    """An entry was replaced by the snapshot."""

    def __init__(self, index: int) -> None:
        super().__init__(f"entry {index} is part of the snapshot")
        self.index = index


class ProposalRejectedError(ConsensusError):
    """A proposal, read or change of voters can't be taken now, or not by this node."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CommandError(ConsensusError):
    """A command or a snapshot of the replicated state is not valid."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class FrameError(ConsensusError):
    """Received bytes are not a valid frame."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class RecordError(ConsensusError):
    """A record of the log file is damaged, or contradicts the records before it."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class DamagedLogError(ConsensusError):
    """The persisted log is not reliable."""

    def __init__(self, path: Path, problem: str, offset: int | None = None) -> None:
        """`offset` is the number of bytes before the damage, if that is known."""
        place = "" if offset is None else f"damaged at byte {offset}: "
        super().__init__(f"{path}: {place}{problem}")
        self.path = path
        self.problem = problem
        self.offset = offset


class CopiedFolderError(DamagedLogError):
    """The folder is a copy, perhaps of an earlier state."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "the folder is a copy")
