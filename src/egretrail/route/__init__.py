"""The route package."""
