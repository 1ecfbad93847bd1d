"""The HTTP API for operators: status, inventory changes and audit."""
