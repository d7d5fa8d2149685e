"""Stand-ins for the platform and upstreams, and the demo that runs them; not installed."""
