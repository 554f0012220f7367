"""HTTP server, refusals and their JSON form."""
