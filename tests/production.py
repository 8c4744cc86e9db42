"""The build in production, which ``deploy/system.toml`` names, taken from history."""

import io
import subprocess
import tarfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]
SYSTEM = ROOT / "deploy" / "system.toml"


def production() -> str:
    """Return the commit that is in production."""
    return tomllib.loads(SYSTEM.read_text())["production"]


def git(*args: str) -> subprocess.CompletedProcess:
    """Run git in this checkout."""
    return subprocess.run(["git", *args], cwd=ROOT, capture_output=True, check=False)


def has_history(commit: str) -> bool:
    """Return whether this checkout has a commit."""
    return git("cat-file", "-e", f"{commit}^{{commit}}").returncode == 0


def check_out(commit: str, folder: Path) -> Path:
    """Write the files of a commit into a folder and return it."""
    archive = git("archive", commit).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as tar:
        tar.extractall(folder, filter="data")
    return folder
