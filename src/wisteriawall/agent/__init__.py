"""Agent: the only gate to one upstream."""
