"""What all readers of the platform's store share."""

import msgspec

MS_PER_S = 1000.0
# Targets report here, each under its name; others may write there too.
TARGETS_PREFIX = "servers/"
# Operators evacuate a zone by an entry with its name.
EVACUATIONS_PREFIX = "op/evacuate/"

# msgspec raises SystemError for an integer beyond the range of floats in the place of a
# float, and RecursionError for a document that is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, SystemError, RecursionError)
