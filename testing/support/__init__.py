"""Helpers that several test folders share."""
