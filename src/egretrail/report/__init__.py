"""The report package."""
