"""Best-effort jobs: an entry coordinates their runs, and sidecars supervise them."""
