"""gRPC over HTTP/2: what a call's metadata mean and how it ended. Pure; the sockets are elsewhere."""
