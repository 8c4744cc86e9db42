"""Connections and slots of one target at its connection holder."""
