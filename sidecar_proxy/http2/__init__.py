"""The HTTP/2 protocol without sockets (RFC 9113), used by gRPC and by the etcd client."""
