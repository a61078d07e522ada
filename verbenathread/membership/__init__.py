"""Cell membership, gossip of upstream records, and leases."""
