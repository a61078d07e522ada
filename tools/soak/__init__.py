"""A soak of the platform's programs as processes, under random faults.

``python -m tools.soak --seed N`` plays one schedule: gateways and directory
processes behind loopback proxies, before stand-in workers, with callers and an
operator. Faults come in series and overlap: signals, cut or silent
connections, lost disks, workers that fail. Promises are checked all the while
from what callers and workers see.
"""
