"""How the golden files name what the code reads: the only place to change when a class or field is renamed.

A golden JSON file holds each record as its kind and its fields, under names of the golden files' own. FORMS
says which class reads a kind and which attribute holds each field, in the order of the bytes.
"""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import Any

from sidecar_proxy.admin import warm_start_codec as remembered
from sidecar_proxy.balancer import events as api
from sidecar_proxy.consensus import disruption_budgets as permits
from sidecar_proxy.consensus import frames, messages, session
from sidecar_proxy.consensus import replicated_commands as agreed
from sidecar_proxy.consensus import storage as store
from sidecar_proxy.gossip import codec
from sidecar_proxy.overload_control import messages as overload

GOLDEN = Path(__file__).parent


class Form:
    """A class and its fields. `fields` are golden names; one whose attribute has another name in the code is
    written `golden=attribute`."""

    def __init__(self, of: type[Any], fields: str) -> None:
        self.of = of
        pairs = [one.partition("=") for one in fields.split()]
        self.attributes = {golden: attribute or golden for golden, _, attribute in pairs}


FORMS: dict[str, Form] = {
    # gossip
    "certificate": Form(codec.Certificate, "serial name site key until_s=expires_s signature"),
    "alive": Form(codec.Alive, "host port incarnation certificate"),
    "accusation": Form(codec.Suspect, "subject incarnation"),
    "count": Form(
        codec.UpstreamReport,
        "node=name born_ms=started_ms attempts timed_out=timeouts reset=resets failed=errors"
        " well=successes run=consecutive_failures age_ms",
    ),
    "bulletin": Form(codec.OutlierReport, "counts=upstreams"),
    "gossip_word": Form(codec.TopicBroadcast, "topic body"),
    "signed": Form(codec.SignedStatement, "author at_us=sequence_us body signature"),
    "ping": Form(codec.Ping, "seq target"),
    "ack": Form(codec.Ack, "seq"),
    "nack": Form(codec.Nack, "seq"),
    "ask_ping": Form(codec.PingReq, "seq target"),
    "news": Form(codec.UrgentBroadcasts, ""),
    "note": Form(codec.TopicMessage, "topic body"),
    "packet": Form(codec.Packet, "certificate at_us=sequence_us message rumours=broadcasts"),
    "state": Form(codec.State, "certificate at_us=sequence_us statements"),
    # agreement: Raft and its log
    "entry": Form(messages.Entry, "term index data voters"),
    "hard_state": Form(messages.HardState, "term vote"),
    "snapshot": Form(messages.Snapshot, "index term voters data"),
    "vote_request": Form(
        messages.VoteRequest, "source target term last_index last_term pre=pre_vote transfer"
    ),
    "vote_reply": Form(messages.VoteReply, "source target term granted pre=pre_vote"),
    "append": Form(messages.Append, "source target term prev_index prev_term entries commit round"),
    "append_reply": Form(messages.AppendReply, "source target term ok match round"),
    "timeout_now": Form(messages.TimeoutNow, "source target term"),
    "store_owner": Form(store.HeaderRecord, "incarnation inode=marker_inode made_ns=marker_changed_ns"),
    "store_hard": Form(store.HardStateRecord, "term vote commit=commit_index"),
    "store_entries": Form(store.EntriesRecord, "entries"),
    "store_whole": Form(store.SnapshotRecord, "snapshot"),
    # agreement: the other frames
    "offer": Form(frames.SnapshotOffer, "source target term index round"),
    "want": Form(
        frames.FetchRequest, "number after index=snapshot_index offset=snapshot_offset most=max_bytes"
    ),
    "batch": Form(frames.EntryBatch, "number fleet=fleet_id commit=commit_index entries"),
    "piece": Form(
        frames.SnapshotChunk,
        "number fleet=fleet_id commit=commit_index index term voters size digest offset data",
    ),
    "later": Form(frames.FetchLater, "number wait_ms"),
    "ask": Form(frames.LeaderRequest, "number word=command name"),
    "answer": Form(frames.LeaderReply, "number what=status index text leader"),
    "here": Form(
        frames.ReplicaStatus,
        "incarnation fleet=fleet_id term leader since_ms=leader_since_ms votes=is_voter commit=commit_index"
        " applied=applied_index at_ms=applied_at_ms life=process_id able=can_vote",
    ),
    "greeting": Form(session.Greeting, "certificate node key=session_key answers=answered_key"),
    # agreement: words and the state that they come to
    "word": Form(
        agreed.ReplicatedCommand,
        "kind id by=submitted_by at_ms=submitted_at_ms name born_ms=started_ms value facts",
    ),
    "held": Form(agreed.ExcludedUpstream, "index kind born_ms=started_ms"),
    "setting": Form(agreed.Setting, "index value"),
    "once": Form(agreed.CommandResult, "index content=digest error text"),
    "agreed_state": Form(
        agreed.ReplicatedState,
        "fleet=fleet_id index held=excluded settings said=results"
        " latest=recent_commands unread=unknown_commands places=permits",
    ),
    "member": Form(permits.Target, "name site kind=upstream_class cell"),
    "facts": Form(
        permits.DisruptionFacts,
        "what=target_kind about=target total=totals down=unavailable more=unnamed_unavailable_count",
    ),
    "place": Form(
        permits.Permit,
        "index what=target_kind member=target by=requested_by id born_ms=started_ms"
        " at_ms=requested_at_ms forced=exceeded_budget",
    ),
    "waiting": Form(permits.QueuedPermit, "place=permit facts"),
    "places": Form(permits.PermitState, "held=granted line=queue forced=forced_count"),
    # overload
    "loan": Form(overload.LeaseRecord, "to=borrower parts"),
    "work": Form(
        overload.ClassLoad,
        "demand=demand_per_1000_s returns=returning_per_1000_s served=served_per_1000_s"
        " busy_us=busy_us_per_s",
    ),
    "report": Form(
        overload.Report,
        "index number=generation storm=has_retry_storm"
        " weight=usable_parts spare=lendable_parts"
        " refused=rejected_per_1000_s grows=capacity_permille"
        " easy=is_unconstrained backlog classes loans=leases",
    ),
    "need": Form(overload.LeaseRequest, "number=lease_id asked_us=requested_us parts renews"),
    "lend": Form(overload.LeaseGrant, "number=lease_id asked_us=requested_us parts"),
    "return": Form(overload.LeaseReturn, "number=lease_id"),
    # what a process leaves to the next
    "remembered": Form(
        remembered.WarmStartRecord,
        "at_us=recorded_at_us answers_us=response_times_us total=total_limit_ratio nodes=upstreams",
    ),
    "remembered_node": Form(
        remembered.UpstreamRecord,
        "name started_us window=concurrency_limit failing=failure_rate answer_us=response_time_us",
    ),
    "learnt": Form(api.WarmStartState, "answers_us=response_times_us total=total_limit_ratio upstreams"),
    "learnt_upstream": Form(
        api.WarmStartUpstream,
        "upstream window=concurrency_limit failing=failure_rate answer_us=response_time_us",
    ),
    # the list of upstreams
    "upstream": Form(api.Upstream, "id state zone kind cell weight started_us"),
}
KINDS: dict[type[Any], str] = {form.of: kind for kind, form in FORMS.items()}
STATES: dict[api.UpstreamState, str] = {
    api.UpstreamState.READY: "ready",
    api.UpstreamState.DRAINING: "draining",
    api.UpstreamState.GONE: "gone",
}


def describe(value: Any) -> Any:
    """A value as it stands in the golden JSON."""
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, dict):
        return {"map": [[key, describe(inner)] for key, inner in value.items()]}
    if isinstance(value, list | tuple):
        return [describe(inner) for inner in value]
    if isinstance(value, api.UpstreamState):
        return STATES[value]
    kind = KINDS.get(type(value))
    if kind is None:
        assert value is None or isinstance(value, bool | int | float | str), type(value)
        return value
    attributes = FORMS[kind].attributes
    return {
        "kind": kind,
        "fields": {name: describe(getattr(value, attribute)) for name, attribute in attributes.items()},
    }


def build(told: Any) -> Any:
    """The value that a golden JSON describes."""
    if isinstance(told, list):
        return [build(inner) for inner in told]
    if not isinstance(told, dict):
        return told
    if "hex" in told:
        return bytes.fromhex(told["hex"])
    if "map" in told:
        return {key: build(inner) for key, inner in told["map"]}
    form = FORMS[told["kind"]]
    return form.of(**{form.attributes[name]: build(inner) for name, inner in told["fields"].items()})


def field_names(of: type[Any]) -> list[str]:
    """The fields of a class, in the order of the bytes."""
    if dataclasses.is_dataclass(of):
        return [one.name for one in dataclasses.fields(of)]
    return list(of.__struct_fields__)
