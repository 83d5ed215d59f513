"""The encoded form of each record on the wire and on disk, which must not change from version to version.

The expected bytes were written by the version before the classes and fields of the records were renamed.
"""

from __future__ import annotations

import msgspec
import pytest

from sidecar_proxy.consensus import frames, replicated_commands, storage
from sidecar_proxy.consensus.disruption_budgets import (
    DisruptionFacts,
    Permit,
    PermitState,
    QueuedPermit,
    Target,
    TargetKind,
)
from sidecar_proxy.consensus.frames import (
    EntryBatch,
    FetchLater,
    FetchRequest,
    LeaderReply,
    LeaderRequest,
    ReplicaStatus,
    SnapshotChunk,
    SnapshotOffer,
)
from sidecar_proxy.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    HardState,
    InstallSnapshot,
    Snapshot,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from sidecar_proxy.consensus.proposals import ProposalStatus
from sidecar_proxy.consensus.replicated_commands import (
    CommandKind,
    CommandResult,
    ExcludedUpstream,
    ReplicatedCommand,
    ReplicatedState,
    Setting,
)
from sidecar_proxy.consensus.storage import EntriesRecord, HardStateRecord, HeaderRecord, SnapshotRecord

ENTRIES = (Entry(2, 3, b"ab"), Entry(2, 4, b"", ("a#1", "b#2")))
SNAPSHOT = Snapshot(7, 3, ("a#1",), b"data")
TARGET = Target("n1", "site1", "kind1", "4")
FACTS = DisruptionFacts(TargetKind.UPSTREAM, TARGET, (4, 3, 2, 1), (Target("n2"),), 5)
PERMIT = Permit(9, TargetKind.UPSTREAM, TARGET, "s1", "id1", 11, 12, "why")
COMMAND = ReplicatedCommand(CommandKind.DRAIN, "id1", "s1", 5, "n1", 6, "force", FACTS)
STATE = ReplicatedState(
    "fleet",
    9,
    {"n1": ExcludedUpstream(3, CommandKind.DRAIN, 6)},
    {"k": Setting(4, "v")},
    {"id1": CommandResult(5, b"12", "err", "text")},
    [(5, COMMAND)],
    [(6, b"x")],
    PermitState({"node:n1": PERMIT}, [QueuedPermit(PERMIT, FACTS)], 2),
)
EXPECTED: list[tuple[msgspec.Struct, str]] = [
    (
        VoteRequest("a#1", "b#2", 3, 4, 5, True, True),
        "9801a3612331a3622332030405c3c3",
    ),
    (
        VoteReply("a#1", "b#2", 3, True, True),
        "9602a3612331a362233203c3c3",
    ),
    (
        Append("a#1", "b#2", 3, 2, 1, ENTRIES, 2, 8),
        "9903a3612331a362233203020192940203c4026162c0940204c40092a3612331a36223320208",
    ),
    (
        AppendReply("a#1", "b#2", 3, True, 4, 8),
        "9704a3612331a362233203c30408",
    ),
    (
        InstallSnapshot("a#1", "b#2", 3, SNAPSHOT, 8),
        "9605a3612331a36223320394070391a3612331c4046461746108",
    ),
    (
        TimeoutNow("a#1", "b#2", 3),
        "9406a3612331a362233203",
    ),
    (
        SnapshotOffer("a#1", "b#2", 3, 7, 8),
        "960aa3612331a3622332030708",
    ),
    (
        FetchRequest(1, 2, 3, 4, 512),
        "960b01020304cd0200",
    ),
    (
        EntryBatch(1, "fleet", 4, ENTRIES),
        "950c01a5666c6565740492940203c4026162c0940204c40092a3612331a3622332",
    ),
    (
        SnapshotChunk(1, "fleet", 4, 7, 3, ("a#1",), 4, bytes(16), 0, b"data"),
        "9b0d01a5666c65657404070391a361233104c4100000000000000000000000000000000000c40464617461",
    ),
    (
        FetchLater(1, 50),
        "930e0132",
    ),
    (
        LeaderRequest(1, b"word", "n1"),
        "940f01c404776f7264a26e31",
    ),
    (
        LeaderReply(1, ProposalStatus.DONE, 3, "text", "a#1"),
        "961001a4646f6e6503a474657874a3612331",
    ),
    (
        ReplicaStatus("1", "fleet", 3, "a#1", 20, True, 4, 3, 99, "life", False),
        "9ba131a5666c65657403a361233114c3040363a46c696665c2",
    ),
    (
        HardState(4, "a#1"),
        "9204a3612331",
    ),
    (
        SNAPSHOT,
        "94070391a3612331c40464617461",
    ),
    (
        HeaderRecord("0" * 16, 5, 6),
        "9400b0303030303030303030303030303030300506",
    ),
    (
        HardStateRecord(4, "a#1", 3),
        "940104a361233103",
    ),
    (
        EntriesRecord(list(ENTRIES)),
        "920292940203c4026162c0940204c40092a3612331a3622332",
    ),
    (
        SnapshotRecord(SNAPSHOT),
        "920394070391a3612331c40464617461",
    ),
    (
        COMMAND,
        "98a5647261696ea3696431a2733105a26e3106a5666f72636595a46e6f646594a26e31a57369746531a56b69"
        "6e6431a13494040302019194a26e32a0a0a005",
    ),
    (
        STATE,
        "98a5666c6565740981a26e319303a5647261696e0681a16b9204a17681a36964319405c4023132a3657272a4"
        "7465787491920598a5647261696ea3696431a2733105a26e3106a5666f72636595a46e6f646594a26e31a573"
        "69746531a56b696e6431a13494040302019194a26e32a0a0a005919206c401789381a76e6f64653a6e319809"
        "a46e6f646594a26e31a57369746531a56b696e6431a134a27331a36964310b0ca377687991929809a46e6f64"
        "6594a26e31a57369746531a56b696e6431a134a27331a36964310b0ca377687995a46e6f646594a26e31a573"
        "69746531a56b696e6431a13494040302019194a26e32a0a0a00502",
    ),
]


@pytest.mark.parametrize(
    ("record", "encoded"), EXPECTED, ids=[type(record).__name__ for record, _ in EXPECTED]
)
def test_record_has_the_expected_encoding(record: msgspec.Struct, encoded: str) -> None:
    assert frames.encode(record).hex() == encoded
    assert replicated_commands.encode(record).hex() == encoded
    assert msgspec.msgpack.decode(bytes.fromhex(encoded), type=type(record)) == record


def test_first_snapshot_of_a_fleet_has_the_expected_encoding() -> None:
    encoded = "98a5666c65657401808080909093809000"
    assert replicated_commands.initial_snapshot_data("fleet").hex() == encoded


def test_command_has_the_expected_digest() -> None:
    assert replicated_commands.command_digest(COMMAND).hex() == "d53d97b5b117b89dc3b5be9afd1adda2"


def test_record_of_the_log_file_has_the_expected_frame() -> None:
    data, _ = storage.frame_records([HardStateRecord(4, "a#1", 3)], b"")
    assert data.hex() == "080000002b5e080ca9260fbf4aeb193e940104a361233103ff"
    assert storage.FILE_MAGIC == b"wickspread agreement 1\n"
