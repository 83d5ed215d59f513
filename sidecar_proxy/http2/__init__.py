"""HTTP/2 as a protocol without sockets (RFC 9113): bytes in, events out, for gRPC and etcd alike."""
