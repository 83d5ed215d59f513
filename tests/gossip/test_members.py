"""The member list, the broadcast queue and the rate limit of urgent relays, against simple models."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from sidecar_proxy.gossip.broadcasts import MAX_PIGGYBACKED_BYTES, BroadcastQueue, encoded_size
from sidecar_proxy.gossip.codec import Certificate, SignedStatement
from sidecar_proxy.gossip.members import (
    MEAN_URGENT_INTERVAL_US,
    MIN_URGENT_INTERVAL_US,
    URGENT_BURST,
    MemberList,
    MemberState,
    Peer,
)

NAMES = st.sampled_from("abcdef")
STATES_OR_REMOVAL = st.sampled_from([*MemberState, None])
STEPS = st.lists(st.tuples(NAMES, STATES_OR_REMOVAL, st.sampled_from(["s1", "s2"])), max_size=40)


def signed(name: str, length: int = 10) -> SignedStatement:
    return SignedStatement(name, 1, bytes(length), bytes(64))


def make_peer(name: str, site: str, state: MemberState = MemberState.ALIVE) -> Peer:
    certificate = Certificate(1, name, site, bytes(32), 1, bytes(64))
    return Peer(name, site, ("h", 1), 1, certificate, signed(name), state)


@given(STEPS)
def test_member_list_indexes_agree_with_a_scan_of_all_peers(
    steps: list[tuple[str, MemberState | None, str]],
) -> None:
    members = MemberList()
    for now_us, (name, state, site) in enumerate(steps):
        peer = members.get(name)
        if peer is None:
            members.add(make_peer(name, site, state or MemberState.ALIVE))
        elif state is None:
            members.remove(peer)
        else:
            members.set_state(peer, state, now_us, site)
        living = [peer.name for peer in members.values() if peer.state is not MemberState.DEAD]
        suspects = {peer.name for peer in members.values() if peer.state is MemberState.SUSPECT}
        assert sorted(peer.name for peer in members.live_peers()) == sorted(living)
        assert members.sites == Counter(members[name].site for name in living)
        assert 0 not in members.sites.values()
        assert {peer.name for peer in members.suspected_peers()} == suspects
        assert {peer.name for peer in members.dead_peers()} == set(members) - set(living)


@given(
    st.lists(st.tuples(NAMES, st.booleans(), st.integers(1, 1024)), max_size=30),
    st.integers(1, 6),
    st.integers(1, 4),
)
def test_broadcasts_that_fit_a_packet_are_sent_fewest_transmissions_first_up_to_the_limit(
    puts: list[tuple[str, bool, int]], max_count: int, transmit_limit: int
) -> None:
    queue = BroadcastQueue()
    sent = Counter[SignedStatement]()
    for name, is_deferred, length in puts:
        queue.put((name,), signed(name, length), is_deferred)
    queued = dict(queue.by_key)
    assert set(queued) == {
        (name,)
        for name, length in {name: length for name, _, length in puts}.items()
        if encoded_size(signed(name, length)) <= MAX_PIGGYBACKED_BYTES
    }
    while queue.by_key:
        lowest_rank = min(broadcast.rank for broadcast in queue.by_key.values())
        taken = queue.take(max_count, MAX_PIGGYBACKED_BYTES, transmit_limit)
        assert len(taken) <= max_count
        assert sum(encoded_size(statement) for statement in taken) <= MAX_PIGGYBACKED_BYTES
        assert queued[(taken[0].author,)].transmissions == lowest_rank // 2 + 1
        sent.update(taken)
    assert sent == Counter({broadcast.statement: transmit_limit for broadcast in queued.values()})


@given(st.lists(st.integers(0, 3_000_000), max_size=60))
def test_urgent_relays_of_one_author_keep_minimum_interval_burst_and_mean_interval(
    gaps_us: list[int],
) -> None:
    peer = make_peer("a", "s")
    now_us = 1_000_000_000
    relayed_us = list[int]()
    for gap_us in gaps_us:
        now_us += gap_us
        # No report is deferred for longer than the mean interval.
        assert peer.next_urgent_us(now_us) - now_us <= MEAN_URGENT_INTERVAL_US
        if now_us >= peer.next_urgent_us(now_us):
            peer.record_urgent(now_us)
            relayed_us.append(now_us)
    assert all(later - earlier >= MIN_URGENT_INTERVAL_US for earlier, later in pairwise(relayed_us))
    for index, start_us in enumerate(relayed_us):
        within = sum(start_us <= at_us < start_us + 20_000_000 for at_us in relayed_us[index:])
        assert within <= URGENT_BURST + 20_000_000 // MEAN_URGENT_INTERVAL_US
