"""The tasks of one running node: supervisor, streams, entry, holder, control."""
