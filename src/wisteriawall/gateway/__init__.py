"""Gateway: forwards callers' requests by host and path to the runners."""
