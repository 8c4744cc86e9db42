"""The commit that this build was made from, as the build step recorded it."""

from pathlib import Path

BUILD_FILE = Path(__file__).parents[2] / "target" / "build"


def build_id() -> str:
    """Return the short commit of this build, empty if it wasn't recorded."""
    try:
        return BUILD_FILE.read_text().strip()
    except OSError:
        # A checkout that was never built has no such file.
        return ""
