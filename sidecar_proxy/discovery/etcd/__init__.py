"""etcd v3 as a source of membership: its API over gRPC, followed by list and watch."""
