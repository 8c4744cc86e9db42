"""lavenderstack: a database proxy with session consistency.

Usage:
  lavenderstack node --settings FILE
  lavenderstack serve [--settings FILE]
  lavenderstack check FILE
  lavenderstack check-config [ARGS ...]
  lavenderstack explain [ARGS ...]
  lavenderstack measures [ARGS ...]
  lavenderstack admin [ARGS ...]
  lavenderstack --version
  lavenderstack --help

Commands:
  node    Run a node until SIGTERM, then complete running requests and stop.
  serve   Run a node on the platform until SIGTERM; the platform provides the
          settings (deploy/node.yaml).
  check   Check a settings file and print all mistakes in it.
  check-config
          Check the operators' lists before they are rolled out, and show what differs
          from the version in force; see "check-config --help".
  explain Show what happened to a request, from log lines; see "explain --help".
  measures
          Show what callers got, from log lines; see "measures --help".
  admin   Administer plans, keys and groups; see "admin --help".

Options:
  --settings FILE  Settings file of the node, in YAML; see docs/SETTINGS.md and
                   docs/PLATFORM.md.
  --version        Show the version.
  --help           Show this text.
"""

import os
import sys
from pathlib import Path
from typing import NoReturn

from lavenderstack import __version__

EXIT_BAD_SETTINGS = 2


def _load_settings(path: str):
    from lavenderstack.border import settings

    try:
        return settings.load(Path(path))
    except settings.SettingsError as exc:
        for mistake in exc.mistakes:
            print(mistake, file=sys.stderr)
        return None


def _node(path: str) -> int:
    cfg = _load_settings(path)
    if cfg is None:
        return EXIT_BAD_SETTINGS
    from lavenderstack.node.main import run

    return run(cfg)


def _serve(path: str | None) -> int:
    from lavenderstack.platform.main import run

    return run(path)


def _check(path: str) -> int:
    if _load_settings(path) is None:
        return EXIT_BAD_SETTINGS
    print(f"{path}: valid")
    return 0


def _admin(argv: list[str]) -> int:
    from lavenderstack.tools.admin import run

    return run(argv)


def _explain(argv: list[str]) -> int:
    from lavenderstack.tools.explain import run

    return run(argv)


def _measures(argv: list[str]) -> int:
    from lavenderstack.tools.measures import run

    return run(argv)


def _check_config(argv: list[str]) -> int:
    from lavenderstack.border import declared
    from lavenderstack.platform import declared as platform_declared
    from lavenderstack.tools.check_config import run

    return run(argv, [platform_declared, declared])


def main(argv: list[str] | None = None) -> int:
    """Run the command line; return the exit status."""
    argv = sys.argv[1:] if argv is None else argv
    if argv[:1] == ["explain"]:
        return _explain(argv[1:])
    if argv[:1] == ["measures"]:
        return _measures(argv[1:])
    if argv[:1] == ["check-config"]:
        return _check_config(argv[1:])
    if argv[:1] == ["admin"]:
        # It parses its own options, which are not in the usage text above.
        return _admin(argv[1:])
    from docopt import docopt

    args = docopt(__doc__, argv=argv, version=f"lavenderstack {__version__}")
    if args["serve"]:
        return _serve(args["--settings"])
    if args["node"]:
        return _node(args["--settings"])
    return _check(args["FILE"])


def _end_process(status: int) -> NoReturn:
    """End the process at once, without freeing all objects one after the other.

    A node has answered all that it read and has little of its time to stop left.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    exit_status = main()
    if sys.argv[1:2] in (["serve"], ["node"]):
        _end_process(exit_status)
    sys.exit(exit_status)
