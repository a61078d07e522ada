"""Small upstreams and an entry with in-memory neighbours, for tests."""
