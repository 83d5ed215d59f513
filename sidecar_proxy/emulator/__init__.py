"""Whole fleets of the real decisions in virtual time."""
