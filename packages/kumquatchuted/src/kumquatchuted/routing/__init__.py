"""Routes of the accepted manifest and how requests match them."""
