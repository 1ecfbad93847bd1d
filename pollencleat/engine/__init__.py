"""Sessions and statements, independent of the protocols of callers and servers."""
