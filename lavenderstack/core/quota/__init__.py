"""Plans of organisations: tokens, coordinators, shares and their messages."""
