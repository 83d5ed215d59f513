"""Which upstream gets a request, whether to try again, what to refuse. No I/O, no clock, no threads."""
