"""Sessions and statements, whatever protocol callers and servers speak."""
