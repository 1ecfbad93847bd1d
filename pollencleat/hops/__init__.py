"""Server connections that gateways lease to other entry VMs."""
