"""Adapter to the users' platform: its names, headers and settings file.

Nothing outside this package knows them, and nothing inside it decides.
"""
