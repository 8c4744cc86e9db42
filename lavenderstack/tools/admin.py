"""Operators' commands for plans, keys, groups, evacuations and the state of nodes.

Usage:
  lavenderstack admin [options] plans show
  lavenderstack admin [options] plans apply FILE
  lavenderstack admin [options] bought show
  lavenderstack admin [options] bought apply FILE
  lavenderstack admin [options] keys list [--organisation NAME]
  lavenderstack admin [options] keys grant ORGANISATION
  lavenderstack admin [options] keys withdraw DIGEST
  lavenderstack admin [options] groups list
  lavenderstack admin [options] groups show NAME
  lavenderstack admin [options] groups apply NAME FILE
  lavenderstack admin [options] evacuate ZONE
  lavenderstack admin [options] return ZONE
  lavenderstack admin [options] evacuations
  lavenderstack admin [options] status
  lavenderstack admin [options] metrics
  lavenderstack admin [options] targets
  lavenderstack admin [options] revision [REVISION]
  lavenderstack admin --help

"show" prints the stored entries with their revision; edit them and "apply" them. If
another operator has changed them since, "apply" changes nothing and shows what differs.
FILE may be "-" for standard input. "keys grant" creates the key locally and prints it
once: the service only gets its digest. "keys withdraw -" reads the key itself from
standard input. "evacuate" keeps statements of callers from all targets in a zone until
"return"; "evacuations" lists the evacuated zones. "metrics" shows latencies and
outcomes by organisation and class, "targets" the targets that the node holds: term,
position, slots, connections.

Options:
  --url URL            Address of the operators' API of any node
                       [default: $LAVENDERSTACK_URL].
  --key-file FILE      File with the operator's key, instead of $LAVENDERSTACK_KEY.
  --revision N         The revision to replace, instead of the one in FILE; for
                       "return" the one to withdraw, instead of the one in force.
  --change-id ID       Repeat a change whose outcome was unknown.
  --organisation NAME  Only this organisation's keys.
  --json               Print the node's answer as JSON.
  --help               Show this text.

Exit status: 0 done and in force in this zone; 1 invalid command, nothing changed;
2 conflict, not in force; 3 stored but not yet known to be in force; 4 nothing changed,
try again; 5 may have changed, repeat it with the change id; 6 not an operator's key.
"""

import json
import os
import sys
from enum import IntEnum
from pathlib import Path
from typing import Any
from urllib.parse import quote

import yaml

from lavenderstack.core import keys
from lavenderstack.tools.admin_client import NO_ANSWER, NOT_SENT, Client, Response

URL_VARIABLE = "LAVENDERSTACK_URL"
KEY_VARIABLE = "LAVENDERSTACK_KEY"


class Exit(IntEnum):
    """Exit statuses, described in the usage text above."""

    DONE = 0
    INVALID = 1
    CONFLICT = 2
    STORED = 3
    NOT_CHANGED = 4
    MAYBE_CHANGED = 5
    NO_OPERATOR = 6


_EXIT_BY_STATUS = {
    200: Exit.DONE,
    202: Exit.STORED,
    401: Exit.NO_OPERATOR,
    412: Exit.CONFLICT,
    503: Exit.NOT_CHANGED,
    504: Exit.MAYBE_CHANGED,
    NOT_SENT: Exit.NOT_CHANGED,
    NO_ANSWER: Exit.MAYBE_CHANGED,
}

_ADVICE = {
    Exit.CONFLICT: "changed by another operator; show it again, merge and apply again",
    Exit.STORED: 'stored, not yet known to be in force; check with "admin revision"',
    Exit.NOT_CHANGED: "nothing was changed; try again, or through another node",
    Exit.MAYBE_CHANGED: "may have changed; repeat it with this --change-id, and with "
    "--revision if one is shown",
    Exit.NO_OPERATOR: "not an operator's key; check --key-file",
}


class UsageError(Exception):
    """The command line or an input file is invalid."""


def run(argv: list[str]) -> int:
    """Run one command; return the exit status."""
    from docopt import docopt

    args = docopt(__doc__, argv=["admin", *argv])
    try:
        client = _make_client(args)
        response = _send_command(client, args)
    except UsageError as exc:
        print(exc, file=sys.stderr)
        return Exit.INVALID
    return _report(response, args)


def _make_client(args: dict) -> Client:
    url = args["--url"]
    if url.startswith("$"):
        url = os.environ.get(URL_VARIABLE, "")
    if not url:
        raise UsageError(f"give --url, or set {URL_VARIABLE}")
    if args["--key-file"]:
        key = _read_file(args["--key-file"]).strip()
    else:
        key = os.environ.get(KEY_VARIABLE, "").strip()
    if not key:
        raise UsageError(f"give --key-file, or set {KEY_VARIABLE}")
    return Client(url, key)


def _send_command(client: Client, args: dict) -> Response:
    if args["keys"]:
        return _send_keys_command(client, args)
    if args["evacuate"] or args["return"]:
        return _send_evacuation(client, args)
    for name in ("status", "metrics", "targets", "evacuations"):
        if args[name]:
            return client.get(f"/v1/{name}")
    if args["revision"]:
        at = args["REVISION"]
        return client.get("/v1/revision" + (f"?at={quote(at)}" if at else ""))
    if args["groups"] and args["list"]:
        return client.get("/v1/groups")
    path = _document_path(args)
    if args["show"]:
        return client.get(path)
    entries, revision = _read_document(args)
    return client.change("PUT", path, entries, revision, args["--change-id"])


def _document_path(args: dict) -> str:
    if args["groups"]:
        return f"/v1/groups/{quote(args['NAME'], safe='')}"
    return "/v1/plans" if args["plans"] else "/v1/bought"


def _send_keys_command(client: Client, args: dict) -> Response:
    if args["list"]:
        organisation = args["--organisation"]
        query = f"?organisation={quote(organisation)}" if organisation else ""
        return client.get("/v1/keys" + query)
    if args["withdraw"]:
        digest = args["DIGEST"]
        if digest == "-":
            digest = keys.digest_of(sys.stdin.read().strip())
        path = f"/v1/keys/{quote(digest, safe='')}/withdraw"
        return client.change("POST", path, {}, change_id=args["--change-id"])
    return _grant(client, args["ORGANISATION"])


def _send_evacuation(client: Client, args: dict) -> Response:
    path = f"/v1/evacuations/{quote(args['ZONE'], safe='')}"
    revision = args["--revision"]
    if revision is not None and not revision.isdecimal():
        raise UsageError("--revision: expected a number, as printed by evacuations")
    if args["evacuate"]:
        return client.change("PUT", path, {}, revision, args["--change-id"])
    if revision is None:
        stored = client.get(path)
        if stored.status != 200:
            # Nothing was sent yet that could change anything.
            status = NOT_SENT if stored.status == NO_ANSWER else stored.status
            return Response(status, stored.body)
        revision = stored.body["revision"]
    response = client.change("DELETE", path, {}, revision, args["--change-id"])
    # A repetition must not withdraw a request that was made in between.
    return Response(response.status, {"revision": int(revision)} | response.body)


def _grant(client: Client, organisation: str) -> Response:
    """Create and grant a key; it is printed only if it is in the store."""
    key = keys.generate()
    digest = keys.digest_of(key)
    path = f"/v1/keys/{digest}"
    response = client.change("PUT", path, {"organisation": organisation})
    if response.status in (200, 202):
        return Response(response.status, response.body | {"key": key, "digest": digest})
    if response.status == NO_ANSWER:
        print(f"the key may have been granted; withdraw it: {digest}", file=sys.stderr)
    return response


def _read_document(args: dict) -> tuple[dict, int]:
    """Return the entries in FILE and the revision that they are to replace."""
    try:
        document = yaml.safe_load(_read_file(args["FILE"]))
    except yaml.YAMLError as exc:
        raise UsageError(f"{args['FILE']}: neither YAML nor JSON: {exc}") from exc
    if not isinstance(document, dict):
        raise UsageError(f"{args['FILE']}: expected a mapping, as printed by show")
    revision = args["--revision"]
    if "entries" in document and "revision" in document:
        revision = revision if revision is not None else document["revision"]
        document = document["entries"]
    if revision is None or not str(revision).isdecimal():
        raise UsageError(
            "the revision to replace is missing: give --revision N, as printed by show"
        )
    if not isinstance(document, dict):
        raise UsageError(f"{args['FILE']}: entries: expected a mapping")
    return document, int(revision)


def _read_file(name: str) -> str:
    if name == "-":
        return sys.stdin.read()
    try:
        return Path(name).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"{name}: {getattr(exc, 'strerror', None) or exc}") from exc


def _report(response: Response, args: dict) -> int:
    status = _EXIT_BY_STATUS.get(response.status, Exit.INVALID)
    succeeded = status in (Exit.DONE, Exit.STORED)
    _print(response.body, args["--json"], sys.stdout if succeeded else sys.stderr)
    if status in _ADVICE:
        print(f"lavenderstack admin: {_ADVICE[status]}", file=sys.stderr)
    return int(status)


def _print(body: dict[str, Any], as_json: bool, file: Any) -> None:
    if as_json:
        print(json.dumps(body), file=file)
    else:
        yaml.safe_dump(body, file, sort_keys=False, allow_unicode=True)
