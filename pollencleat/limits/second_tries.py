"""When a read that has no answer yet is asked again, at another server.

Load pattern: one server of a group takes requests and answers none, or far too late,
while others have room.  A read there would wait until its time limit is over; asked
of another too, in time, it is still of use to its caller.  A read changes nothing, so
that it may run twice; the first server is left to go on.

Where all servers are slow a second try makes the load worse.  A budget therefore keeps
second tries below a tenth of all reads, and a read without budget stays where it is.
"""

MOST_OF_REST = 0.5
"""Share of a read's remaining time for which only one server is asked."""


def second_try_after_s(objective_s: float, left_s: float) -> float:
    """Return how long a read waits for one server before another may be asked too.

    Args:
        objective_s: Time within which the caller wants its answer.
        left_s: Time until the read's limit.

    Returns:
        Seconds; at least half of the remaining time is kept for the other server.
    """
    return max(0.0, min(objective_s, MOST_OF_REST * left_s))
