"""The side that callers see: authentication, sessions and execution of statements."""
