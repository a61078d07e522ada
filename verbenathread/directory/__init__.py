"""Service registry: serving configuration and workers on a replicated log.

Only the leader answers operators and workers and sends updates to gateways.
Followers replicate the log and redirect clients to the leader.
"""
