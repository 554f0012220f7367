"""Configuration document: its types, validation and patches."""
