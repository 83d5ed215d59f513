"""gRPC over HTTP/2: the client connections, the calls, and their attempts at upstreams."""
