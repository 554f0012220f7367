"""Gateway: routes callers' requests by host and path to runners."""
