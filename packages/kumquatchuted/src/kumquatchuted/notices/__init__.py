"""What searchers state in their responses about further requests."""
