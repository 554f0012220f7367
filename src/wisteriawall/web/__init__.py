"""HTTP: server, connections to runners, and refusals as JSON."""
