"""What control keeps on the replicated log, and its daemon."""
