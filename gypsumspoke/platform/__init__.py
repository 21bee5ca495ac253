"""The adapter to the users' platform: its names are decoded here and nowhere else."""
