"""Log lines and what follows from them."""
