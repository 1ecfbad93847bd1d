"""Times and sizes that several packages share."""

BEAT_S = 0.3
"""Seconds between two heartbeats to a relay, and between two platform reads of a node
that is joining or changes a primary."""

READ_S = 0.6
"""Seconds between two platform reads of a relay while nothing is changing."""

PERMIT_S = 1.6
"""Seconds after a platform read was sent during which writes may rest on it."""

PROMISE_S = 1.6
"""Seconds during which a node that gave a promise makes no server a primary."""

CLOCK_DRIFT = 0.02
"""Largest relative difference between the rates of two clocks."""

RELAY_SILENCE_S = 1.0
"""Seconds without a heartbeat after which the next node acts as relay."""

FAILOVER_AFTER_S = 0.8
"""Seconds without an answer after which a primary counts as lost."""

SAMPLE_S = 0.1
"""Seconds between two samples of a backend server's position."""

EVICT_AFTER_S = 10.0
"""Seconds of silence after which a member whose VM is gone is removed."""

MAX_STATEMENT_BYTES = 16 * 1024 * 1024
"""Largest statement in bytes that is accepted from a caller."""
