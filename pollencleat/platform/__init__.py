"""Translation between this project and its users' platform; no decisions.

Nothing outside this package knows the names that the platform uses.
"""
