"""Rate limits of organisations: tokens at the entry nodes and their coordinators."""
