"""Stand-ins for the platform, its workers and its callers, for the cases in review/.

They use the standard library only and follow the pages of the users' platform.
"""
