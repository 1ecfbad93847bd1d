"""Timing of hedged reads: when an unanswered read is also sent to another server.

Load pattern: one server of a group accepts requests but answers none, or far too late,
while others have free capacity.  A read at that server would wait until its time limit;
if another server is asked early enough, the answer is still useful to the caller.  A
read changes nothing and may run twice, so the first request is not cancelled.

If all servers are slow, hedges add to the load.  A budget therefore limits them to a
tenth of all reads; without budget, a read waits for its first server only.
"""

FIRST_SERVER_TIME_SHARE = 0.5
"""Largest fraction of a read's remaining time to wait for the first server only."""


def compute_hedge_delay_s(objective_s: float, left_s: float) -> float:
    """Return how long a read waits for its first server before a hedge is sent.

    Args:
        objective_s: Latency objective of the caller in seconds.
        left_s: Seconds until the read's time limit.

    Returns:
        Seconds; at least half of the remaining time is left for the hedge.
    """
    return max(0.0, min(objective_s, FIRST_SERVER_TIME_SHARE * left_s))
