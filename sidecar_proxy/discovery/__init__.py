"""Who is a member of the fleet, by the words of several sources. Pure; the sources' sockets are elsewhere."""
