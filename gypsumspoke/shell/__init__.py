"""Sockets, timers and processes that run the reducers of ``core`` and ``runs``."""
