"""Which target leads a group, and when another one may take over."""
