"""Benchmarks with regression bounds; run each with `python -m`."""
