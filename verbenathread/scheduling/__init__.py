"""Request scheduling: admission, queueing, engine choice, limits, retries."""
