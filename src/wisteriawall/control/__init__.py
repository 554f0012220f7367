"""Control replica: replicated log, configuration, claims and orders."""
