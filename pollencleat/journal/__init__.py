"""The request journal, which lets a request run at most once."""
