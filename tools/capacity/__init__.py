"""Measure unit costs of the control plane; extrapolate to the target size."""
