"""Text to checked values: settings, the manifest and submissions."""
