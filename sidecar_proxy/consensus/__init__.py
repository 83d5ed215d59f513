"""Agreed state among sidecars: a small replicated log, after Raft."""
