"""Adapters and validated models for callers, targets, platform and operators."""
