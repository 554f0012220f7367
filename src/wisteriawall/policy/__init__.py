"""Pure decisions: routing, roles, limits and retries."""
