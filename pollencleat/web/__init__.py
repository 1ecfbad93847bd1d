"""HTTP/1.1 over asyncio, small enough that a process can start quickly.

The parser is httptools.  A general HTTP library takes longer to import than everything
else that an entry VM needs for its first answer, and nothing of its TLS, cookie and
proxy support is used on this path.
"""
