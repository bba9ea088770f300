"""Routes of the accepted manifest and the match of requests to them."""
