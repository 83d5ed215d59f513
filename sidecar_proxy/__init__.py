"""A sidecar proxy that balances the load of service-to-service calls."""

from sidecar_proxy import compiled

compiled.state = compiled.install()
