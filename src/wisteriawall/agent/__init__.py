"""Agent: the HTTP proxy through which entries reach one upstream."""
