"""Stand-ins of the platform and of upstreams, and the demo that drives them; not installed."""
