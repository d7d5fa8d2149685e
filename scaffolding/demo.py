"""Replays a recorded trace against real processes."""
