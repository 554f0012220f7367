"""Fault soak: real processes of the system under faults from outside."""
