"""The status of gossip as a JSON object, for the command `gossip members` and for operators' scripts."""

from __future__ import annotations

from typing import Any

from sidecar_proxy.gossip.instance import GossipInstance
from sidecar_proxy.gossip.members import Peer
from sidecar_proxy.gossip.outlier_reports import ReceivedReport


def describe(instance: GossipInstance) -> dict[str, Any]:
    """Return the object. Its keys are an interface that scripts and earlier versions of the command read."""
    core, certificate = instance.core, instance.keyring.certificate
    return {
        "name": core.name,
        "site": core.site,
        "address": list(instance.address),
        "serial": certificate.serial,
        "until_s": certificate.expires_s,
        "incarnation": core.local.incarnation,
        "health": core.awareness.score,
        "instances": instance.fleet_size.instances,
        "peers": [_describe_peer(core.members[name]) for name in sorted(core.members)],
        "nodes": {
            name: {
                "weight": round(instance.outlier_weights.get(name, 0.0), 3),
                "by": {author: _describe_report(report) for author, report in by_author.items()},
            }
            for name, by_author in sorted(instance.aggregator.by_upstream.items())
        },
        "counts": {**instance.counts, **core.counts},
        "refused": dict(instance.keyring.rejections),
    }


def _describe_peer(peer: Peer) -> dict[str, Any]:
    return {
        "name": peer.name,
        "site": peer.site,
        "address": list(peer.address),
        "life": peer.state.value,
        "accusers": sorted(peer.suspecters),
        "serial": peer.certificate.serial,
        "until_s": peer.certificate.expires_s,
    }


def _describe_report(report: ReceivedReport) -> dict[str, Any]:
    return {
        "site": report.site,
        "run": report.upstream.consecutive_failures,
        "well": report.upstream.successes,
    }
