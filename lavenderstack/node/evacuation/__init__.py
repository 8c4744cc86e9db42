"""Evacuated zones as entry nodes and connection holders see them."""
