"""The log of operators' tickets and the view computed from it."""
