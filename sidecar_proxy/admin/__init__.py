"""Operation of a running sidecar: admin commands, suspensions, draining and hot restart."""
