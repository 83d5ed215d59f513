"""The flight recorder: keeps inputs and outputs of the balancer, writes them to files and replays them."""
