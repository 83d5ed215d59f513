"""The engine: the only caller of the balancer. It owns the clock, the timers and the pending requests."""
