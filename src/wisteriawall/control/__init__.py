"""Control replica: agreement, configuration, claims and orders."""
