"""Gossip between sidecars: SWIM membership and outlier reports on upstreams (docs/design/gossip.md)."""
