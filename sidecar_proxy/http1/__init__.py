"""HTTP/1.1: the listener and its client connections, and the connections to upstreams."""
