"""Every order of events of the pure cores, within stated bounds."""
