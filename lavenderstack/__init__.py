"""A database proxy with session consistency for many organisations."""

__version__ = "0.1.0"
