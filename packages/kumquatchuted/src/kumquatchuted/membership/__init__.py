"""What the node knows of searchers, nodes and evacuated data centres."""
