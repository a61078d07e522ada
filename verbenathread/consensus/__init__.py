"""A replicated log: storage, elections, replication and snapshots."""
