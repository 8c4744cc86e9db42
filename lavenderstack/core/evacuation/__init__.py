"""Evacuated availability zones and home regions."""
