"""The idempotency package."""
