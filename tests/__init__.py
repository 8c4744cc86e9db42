"""Tests of whole processes, and what they need."""
