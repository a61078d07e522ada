"""HTTP/1.1 server and client on asyncio, parsed with ``httptools``.

The server (:mod:`server`) reads complete requests and answers them in order.
The client (:mod:`client`) distinguishes complete responses, truncated ones
and bytes that belong to no request (RFC 9112).
"""
