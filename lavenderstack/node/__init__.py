"""The components of a running node: supervisor, streams, entry, holder, control."""
