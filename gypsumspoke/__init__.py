"""A dispatcher for jobs of many sub-second tasks.

``core`` decides and does no I/O, ``parser`` turns text into checked values,
``wire`` carries messages between processes, ``shell`` runs the decisions on one
gevent loop, ``tools`` holds the command line and the measuring command.
"""

__version__ = "0.1.0"
