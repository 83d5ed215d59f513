"""The command line, with a module for each group of commands."""
