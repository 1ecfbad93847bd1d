"""The daemon: settings, life cycle, and adapters that carry out effects."""
