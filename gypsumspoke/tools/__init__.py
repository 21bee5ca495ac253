"""The command line, the measuring command and reports."""
