"""The declared inventory: parsing, validation, and forecast of its resources."""
