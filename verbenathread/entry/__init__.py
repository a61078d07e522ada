"""The entry daemon: serves callers by forwarding requests to upstreams."""
