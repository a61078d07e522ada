"""Decisions under load: admission, queues, engines, limits, retries."""
