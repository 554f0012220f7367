"""Entry: accepts callers' requests and relays the answers of runners."""
