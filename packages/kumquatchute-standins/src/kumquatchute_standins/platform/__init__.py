"""Stand-in for the platform's object API, with faults that can be injected."""
