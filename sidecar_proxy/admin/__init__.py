"""What people do to a running sidecar: the door for operators, figures, suspensions, drains, upgrades."""
