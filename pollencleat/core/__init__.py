"""Data types, messages, errors, timers and the node state that all packages share."""
