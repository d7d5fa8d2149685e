"""The upstream package."""
