"""Gateway: a reverse proxy that forwards callers' requests to workers.

:mod:`exchange` serves one request; :mod:`attempt` is one send of it to a
worker; :mod:`watch` receives configuration and workers from the directory;
:mod:`notices` announces sends to the other gateways.
"""
