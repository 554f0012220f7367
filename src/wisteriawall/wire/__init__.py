"""Typed messages between processes, and the sockets that carry them."""
