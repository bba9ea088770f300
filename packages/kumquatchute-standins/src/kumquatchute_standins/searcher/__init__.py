"""Stand-in for the searchers, with faults that can be injected."""
