"""Connects the balancer to the simulator through the simulator's binary protocol."""
