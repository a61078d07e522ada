"""Soak test of the platform's processes under random faults.

``python -m tools.soak --seed N`` runs one schedule: gateways and directory
processes behind loopback proxies, in front of stand-in workers, with callers
and an operator. Faults come in series and overlap: signals, cut or silent
connections, lost disks, failing workers. Throughout the run the guarantees of
the platform are checked against what callers and workers observe.
"""
