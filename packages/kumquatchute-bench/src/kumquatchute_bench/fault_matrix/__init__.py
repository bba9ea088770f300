"""The fault matrix: which tests check which step under which fault."""
