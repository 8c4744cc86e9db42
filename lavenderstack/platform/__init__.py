"""Adapter for the platform that nodes run on: its names, formats and calls."""
