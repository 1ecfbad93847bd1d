"""What operators declare: parsing, comparison and the forecast that follows from it."""
