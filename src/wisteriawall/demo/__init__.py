"""A whole cluster in one process, for trying it out and for checks."""
