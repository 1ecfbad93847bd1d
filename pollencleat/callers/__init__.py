"""The MySQL interface for callers: authentication, sessions and statements."""
