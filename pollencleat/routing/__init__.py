"""Statement classification and the choice of a backend server."""
