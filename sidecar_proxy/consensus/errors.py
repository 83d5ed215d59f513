"""Exceptions of the consensus package. Each message is one line."""

from __future__ import annotations

from pathlib import Path


class ConsensusError(Exception):
    """Base class of the exceptions in this package."""


class CompactedError(ConsensusError):
    """The requested entry is no longer in the log, as compaction has replaced it by a snapshot."""

    def __init__(self, index: int) -> None:
        super().__init__(f"entry {index} has been compacted into the snapshot")
        self.index = index


class ProposalRejectedError(ConsensusError):
    """This node can't accept a proposal, a read or a change of voters, at present or at all."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class CommandError(ConsensusError):
    """A command or a snapshot of the replicated state is invalid."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class FrameError(ConsensusError):
    """Received bytes are not a valid frame."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class RecordError(ConsensusError):
    """A record of the log file is damaged, or is inconsistent with the records before it."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem)
        self.problem = problem


class DamagedLogError(ConsensusError):
    """The persisted log can't be relied on: acknowledged entries or votes may be missing or altered."""

    def __init__(self, path: Path, problem: str, offset: int | None = None) -> None:
        """`offset` is the number of intact bytes before the damage, or None if that is not known."""
        position = "" if offset is None else f"damaged at byte {offset}: "
        super().__init__(f"{path}: {position}{problem}")
        self.path = path
        self.problem = problem
        self.offset = offset


class CopiedFolderError(DamagedLogError):
    """The state folder is a copy, perhaps of an earlier state."""

    def __init__(self, path: Path) -> None:
        super().__init__(path, "the folder is a copy")
