"""Command line for operators, a thin client of the administration API."""
