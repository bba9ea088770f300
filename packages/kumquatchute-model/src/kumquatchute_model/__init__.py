"""Types shared by the node, the command line and the stand-ins."""
