"""Primary failover: failure detection, promotion, and repair of replication."""
