"""Serve language models on a fixed fleet of engines."""

__version__ = "0.1.0"

__all__ = ["__version__"]
