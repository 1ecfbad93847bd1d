"""Messages between entry VMs over ZeroMQ."""
