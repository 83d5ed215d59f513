"""What operators do to a running sidecar: admin commands, suspensions, draining and hot restart."""
