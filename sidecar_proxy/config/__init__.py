"""What configures a sidecar: the platform's settings, and the operator file with a table per subsystem."""
