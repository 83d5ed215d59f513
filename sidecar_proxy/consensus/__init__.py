"""Consensus among sidecars: a small replicated log after Raft, and the fleet-wide state that it carries."""
