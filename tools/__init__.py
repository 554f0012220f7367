"""Maintainers' tools; none of them ships."""
