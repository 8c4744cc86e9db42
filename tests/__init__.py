"""Tests of whole processes and of the structure of the source."""
