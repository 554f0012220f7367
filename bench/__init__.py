"""Benchmarks with regression bounds; each module runs by itself."""
