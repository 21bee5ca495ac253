"""Parses and validates settings, the manifest, announcements and job requests."""
