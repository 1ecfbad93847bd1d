"""The operators' command line; thin over the administration API."""
