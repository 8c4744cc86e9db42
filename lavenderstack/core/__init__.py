"""Core data and pure decisions; nothing here does I/O or reads a clock."""
