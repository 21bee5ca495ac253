"""Pure decisions: no I/O, no clock, no gevent; see docs/DESIGN.md."""
