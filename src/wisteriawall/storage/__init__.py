"""Durable log of a control replica."""
