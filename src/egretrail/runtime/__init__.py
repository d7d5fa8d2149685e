"""The runtime package."""
