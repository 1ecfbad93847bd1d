"""Client of the object API, and the objects that this project stores there."""
