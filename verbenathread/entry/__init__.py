"""The entry daemon: callers on one side, upstreams on the other."""
