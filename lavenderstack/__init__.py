"""A database proxy with session consistency for many organisations."""
