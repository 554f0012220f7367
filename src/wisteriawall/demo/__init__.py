"""The whole system in one process, for newcomers and checks."""
