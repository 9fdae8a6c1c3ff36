"""The serving process: callers, operators, peers, platform and backend servers."""
