"""Overload control of the whole fleet: shared quotas, one shedding threshold and Retry-After advice."""
