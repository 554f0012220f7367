"""Stand-ins for the platform: engine, plain service and VM list."""
