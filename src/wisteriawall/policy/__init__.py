"""Decisions without I/O: admission, placement, routing, roles and retries."""
