"""What operators turn on: the operator file, one table a subsystem. All is off without it."""
