"""The kumquatchute node daemon."""
