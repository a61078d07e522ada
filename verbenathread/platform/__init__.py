"""Wire formats and calls of the users' platform; contains no policy.

:mod:`headers` reads and writes request headers, :mod:`bodies` parses the JSON
bodies of operators, :mod:`heartbeats` those of workers, and
:mod:`directory_handler` serves the directory's HTTP paths. No other package
depends on the platform's wire names.
"""
