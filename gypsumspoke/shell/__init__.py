"""Sockets, timers and processes around the reducers of ``core``."""
