"""Policies measured against baselines on seeded traces in virtual time."""
