"""Adapter to the users' platform: its API, headers and settings file.

The platform's names are used in this package only. It translates them to the
types of `gateway` and `control`, and makes no decisions.
"""
