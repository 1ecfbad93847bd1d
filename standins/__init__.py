"""Test stand-ins for the backend servers, the platform and network links."""
