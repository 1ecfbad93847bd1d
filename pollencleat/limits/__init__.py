"""Queues, retry budgets and connection shares."""
