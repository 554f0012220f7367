"""What the operator commands share: HTTP client, options and tables."""
