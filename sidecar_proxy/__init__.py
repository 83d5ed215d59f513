"""sidecar_proxy: the decisions of a sidecar balancer for service-to-service calls."""

from sidecar_proxy import compiled

compiled.state = compiled.install()
