"""Simulations that compare the policy with baselines on seeded traces."""
