"""Fleet membership, heartbeats and write permits."""
