"""What a statement is, and which server may answer it."""
