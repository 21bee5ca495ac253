"""Best-effort jobs: leased runs that one entry coordinates and sidecars guard."""
