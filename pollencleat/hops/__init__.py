"""Server connections that entry VMs lend to each other."""
