"""Command line tools for operators and developers."""
