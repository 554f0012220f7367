"""Measure slopes of the control plane and work out the letter's size."""
