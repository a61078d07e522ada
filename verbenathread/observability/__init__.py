"""Logs, metrics, status endpoints and the history of a request."""
