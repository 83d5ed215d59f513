"""The list of upstreams, as the platform tells it."""
