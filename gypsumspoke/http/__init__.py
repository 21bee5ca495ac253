"""HTTP server: reads requests within bounds, and calls a WSGI application for each."""
