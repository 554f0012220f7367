"""Helpers shared by the tests, the benchmarks and the tools."""
