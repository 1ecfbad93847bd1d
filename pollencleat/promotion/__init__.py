"""Changes of primary: when they begin, how they proceed, and what is repaired."""
