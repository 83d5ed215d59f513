"""The configuration of a sidecar: the platform's settings and the operator file."""
