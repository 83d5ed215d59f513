"""Endpoint discovery: the platform's list and further sources, and their merge into one view of the fleet."""
