"""Measurements with bounds that stem from the stated target."""
