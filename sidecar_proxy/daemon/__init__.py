"""The sidecar process: configuration, signals, and the enabled subsystems."""
