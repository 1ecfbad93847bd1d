"""Admission queues, retry budgets and connection shares."""
