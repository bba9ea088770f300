"""ZeroMQ links between nodes."""
