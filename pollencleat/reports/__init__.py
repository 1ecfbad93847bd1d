"""What a node reports of itself: metrics and status."""
