"""Logging, the decision log and metrics of a process."""
