"""Replay of the placement of many gateways before many engines."""
