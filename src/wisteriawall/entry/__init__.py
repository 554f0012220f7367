"""Entry: serves callers and relays answers."""
