"""One real sidecar: what it is told at its start, signals, and the subsystems that are on."""
