"""What a response is: whose it is, and whether it is whole and good."""
