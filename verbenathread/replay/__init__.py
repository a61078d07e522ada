"""Simulation that replays request traces through the scheduling code."""
