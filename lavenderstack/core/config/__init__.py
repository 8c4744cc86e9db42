"""Checks of the operators' lists, and how two of them differ."""
