"""The kumquatchute command line for operators."""
