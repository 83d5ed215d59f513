"""Stand-ins on loopback for all that a sidecar meets, a ledger of what happened, a checker of the rules."""
