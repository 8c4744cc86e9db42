"""Data types and decision logic without I/O; only ``clock`` reads a clock."""
