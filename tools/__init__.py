"""Tools for maintainers; not part of the installed package."""
