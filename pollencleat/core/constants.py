"""Intervals, timeouts and limits that several packages share."""

HEARTBEAT_INTERVAL_S = 0.3
"""Seconds between two heartbeats to a relay; also between two platform reads while a
node joins or a primary is being replaced."""

PLATFORM_READ_INTERVAL_S = 0.6
"""Seconds between two platform reads of a relay when no primary is being replaced."""

PLATFORM_PERMIT_S = 1.6
"""Seconds for which a platform read permits writes, from when it was sent."""

PROMISE_DURATION_S = 1.6
"""Seconds for which a node that gave a promise promotes no server."""

REREGISTRATION_GRACE_S = 2.0
"""Time after a platform outage within which live servers register again, as documented
by the platform."""

MAX_CLOCK_DRIFT = 0.02
"""Largest relative difference between the rates of two nodes' clocks."""

RELAY_TIMEOUT_S = 1.0
"""Seconds without a heartbeat from a relay after which the next member replaces it."""

PRIMARY_TIMEOUT_S = 0.8
"""Seconds without an answer after which a primary is considered lost."""

SAMPLE_INTERVAL_S = 0.1
"""Seconds between two samples of a backend server's log position."""

EVICTION_TIMEOUT_S = 10.0
"""Seconds without a heartbeat after which a member is removed, unless its VM is listed
as live."""

MAX_STATEMENT_BYTES = 16 * 1024 * 1024
"""Largest statement, in bytes, that is accepted from a caller."""
