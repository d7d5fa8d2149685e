"""egretrail: a proxy fleet for upstreams that fail partially and quietly."""
