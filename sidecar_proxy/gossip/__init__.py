"""What sidecars tell one another: who is there, and what they have seen of nodes. docs/design/gossip.md."""
