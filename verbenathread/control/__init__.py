"""The control role: replicated state and the daemon that serves it."""
