"""Small stand-ins for the systems around the proxy; not part of the product."""
