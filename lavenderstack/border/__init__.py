"""Adapters and validated models towards callers, targets, platform, operators."""
