"""Known searchers, nodes and evacuated data centres, and the manifest."""
