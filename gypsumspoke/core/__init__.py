"""Pure reducers: no I/O, no clock, no gevent; see docs/DESIGN.md."""
