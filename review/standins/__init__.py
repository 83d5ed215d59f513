"""Stand-ins for clients, upstreams, discovery and the platform that the cases of this review share."""
