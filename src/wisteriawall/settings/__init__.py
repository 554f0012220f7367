"""Settings of every program, checked before anything starts."""
