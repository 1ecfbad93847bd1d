"""The record that lets a request run at most once."""
