"""Demo, load and measurement scripts; they start stand-ins and daemons as processes."""
