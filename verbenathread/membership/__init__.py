"""Which nodes and upstreams there are, and who owns what for how long."""
