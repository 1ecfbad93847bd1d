"""Plain records, errors, time and the blackboard that every other package uses."""
