"""wickspread: the decisions of a sidecar balancer for service-to-service calls."""

from wickspread import compiled

compiled.state = compiled.install()
