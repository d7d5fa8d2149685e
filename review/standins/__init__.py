"""Stand-ins for the platform, the backends and the clients, for the cases of the review.

They use the standard library only and follow the pages of the platform.
"""
