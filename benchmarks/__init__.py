"""Measurements of speed and size; nothing here is asserted in CI."""
