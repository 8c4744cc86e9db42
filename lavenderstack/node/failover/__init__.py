"""Replacement of primaries that are lost, leave, or are in an evacuated zone."""
