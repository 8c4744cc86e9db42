"""The order of waiting statements, refusals, and times to come back."""
