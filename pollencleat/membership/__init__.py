"""Who belongs to the fleet, and on what basis a node may write."""
