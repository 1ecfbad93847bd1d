"""The daemon: settings, life cycle, and adapters that run effects."""
