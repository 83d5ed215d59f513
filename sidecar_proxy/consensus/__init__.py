"""Consensus among sidecars: a log replicated by Raft, and the fleet-wide state that its entries produce."""
