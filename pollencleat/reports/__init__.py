"""Metrics, status and structured logs of one node."""
