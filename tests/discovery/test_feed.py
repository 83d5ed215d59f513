"""The platform's large lists beside a further source: what each source has reported is kept apart."""

from __future__ import annotations

import pytest

from sidecar_proxy.balancer import events as api
from sidecar_proxy.discovery import platform_client
from sidecar_proxy.discovery.endpoint_list import SLICE_ENTRIES
from tests.admin.override_rig import OverrideRig, hosts, run
from tests.test_listing import entry, list_json, until_idle

READY, DRAINING, GONE = api.UpstreamState.READY, api.UpstreamState.DRAINING, api.UpstreamState.GONE
LARGE = SLICE_ENTRIES + 6  # compared with the previous list, and applied in slices
TERMINATING = {"health": "terminating"}


# Guards against new requests to an upstream that the platform drains: the other source's drain hid its own.
def test_a_drain_in_a_large_list_counts_after_another_source_has_ended_its_own() -> None:
    async def test() -> None:
        rig = OverrideRig(sources=("etcd",))
        await rig.send_list(hosts(LARGE))
        await rig.send_changes_of_source("etcd", entry(1, **TERMINATING))
        assert rig.state("s-1") is DRAINING
        await rig.send_list(hosts(LARGE, s_1=TERMINATING))
        await rig.send_changes_of_source("etcd", entry(1))
        assert rig.state("s-1") is DRAINING
        await rig.send_list(hosts(LARGE))
        assert rig.state("s-1") is READY
        rig.close()

    run(test)


# Guards against new requests to a removed upstream: one that was still to be sent was not seen to be missing.
def test_an_upstream_that_is_removed_before_it_was_sent_to_the_balancer_stays_removed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def test() -> None:
        monkeypatch.setattr(platform_client, "STEP_S", 60.0)  # both lists are applied in one turn of the loop
        rig = OverrideRig(sources=("etcd",))
        last = f"s-{LARGE - 1}"
        others = [entry(number, host=f"e-{number}") for number in range(3 * SLICE_ENTRIES)]
        rig.pass_changes_of_source("etcd", *others)  # more than one slice, so what follows waits behind it
        rig.client.enqueue(list_json(hosts(LARGE), 2).encode())
        assert last in rig.feed.pending
        rig.client.enqueue(list_json(hosts(LARGE - 1), 3).encode())
        await until_idle(rig.client)
        await rig.settle()
        assert rig.state("s-1") is READY
        assert rig.state(last) is GONE
        rig.close()

    run(test)


LISTED = 15
REMAINING = 6  # a complete list of a further source with so few of LISTED would need confirmation


@pytest.mark.parametrize("sources", [(), ("etcd",)], ids=["alone", "beside etcd"])
@pytest.mark.parametrize("remaining", [0, REMAINING])
@pytest.mark.parametrize("way", ["list", "new watch", "reload"])
# Guards against new requests to removed upstreams: a list that lacked most upstreams was not believed.
def test_whatever_a_complete_list_of_the_platform_leaves_out_is_gone_at_once(
    way: str, remaining: int, sources: tuple[str, ...]
) -> None:
    async def test() -> None:
        rig = OverrideRig(sources=sources)
        await rig.send_cached_list(hosts(LISTED))
        deliver = {"list": rig.send_list, "new watch": rig.send_list_of_new_watch, "reload": rig.reload}
        await deliver[way](hosts(remaining))
        states = [rig.state(f"s-{number}") for number in range(LISTED)]
        assert states == [READY] * remaining + [GONE] * (LISTED - remaining)
        rig.close()

    run(test)


def test_an_upstream_that_the_platform_leaves_out_and_another_source_lists_drains() -> None:
    async def test() -> None:
        rig = OverrideRig(sources=("etcd",))
        await rig.send_list(hosts(LISTED))
        await rig.send_changes_of_source("etcd", *hosts(LISTED))
        await rig.send_list(hosts(REMAINING))
        assert rig.state("s-0") is READY
        assert rig.state(f"s-{LISTED - 1}") is DRAINING
        await rig.send_changes_of_source("etcd", entry(LISTED - 1, health="terminated"))
        assert rig.state(f"s-{LISTED - 1}") is GONE
        rig.close()

    run(test)
