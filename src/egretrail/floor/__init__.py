"""The floor package."""
