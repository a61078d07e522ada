"""Operator commands and the client with which they call control."""
