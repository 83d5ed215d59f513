"""Limits how many upstreams the endpoint list may hold. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from sidecar_proxy.balancer import events as api
from sidecar_proxy.engine.interfaces import ListedUpstream


def within_limit(
    upstreams: list[ListedUpstream],
    known: Mapping[int, ListedUpstream],
    max_count: int,
    is_full_list: bool,
) -> list[ListedUpstream]:
    """Return the entries without those that are new and exceed the limit.

    Entries of known upstreams are always kept, as they may report a drain or a removal.
    """
    if len(known) + len(upstreams) <= max_count:
        return upstreams
    kept_count = sum(upstream.entry.id in known for upstream in upstreams) if is_full_list else len(known)
    free_count = max(0, max_count - kept_count)
    admitted: list[ListedUpstream] = []
    for upstream in upstreams:
        is_new = upstream.entry.id not in known and upstream.entry.state is not api.UpstreamState.GONE
        if is_new and free_count == 0:
            continue
        free_count -= is_new
        admitted.append(upstream)
    return admitted
