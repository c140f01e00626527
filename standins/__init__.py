"""Small stand-ins for the systems around the routers, for tests and trials."""
