"""``ploverhatch ctl``: administers a running cell through any of its nodes."""

import json
import sys
import time
from pathlib import Path
from typing import Any, NoReturn

import click

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.transport.http_client import AnswerLostError, HttpAnswer, HttpClient, NotSentError

EXIT_FAILURE = 1
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
CONFLICT_STATUS = 412
WAIT_LIMIT_S = 10.0
POLL_INTERVAL_S = 0.1  # between two status requests to the nodes
_UNKNOWN_OUTCOME = "unknown"


class AdminClient:
    """Calls the administration API of one node; ``address`` is ``host:port``."""

    def __init__(self, address: str, token: str) -> None:
        host, _, port = address.rpartition(":")
        self._client = HttpClient(host, int(port), 2)
        self._token = token

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> HttpAnswer:
        """Send one request; exit with a message if it can't be sent or its answer is lost."""
        payload = b"" if body is None else json.dumps(body).encode()
        fields = {"Authorization": f"Bearer {self._token}", **(headers or {})}
        try:
            return self._client.exchange(method, path, fields, payload, 10.0)
        except NotSentError as error:
            click.echo(f"the node can not be reached: {error}", err=True)
            sys.exit(EXIT_FAILURE)
        except AnswerLostError as error:
            click.echo(f"the answer was lost, the outcome is unknown: {error}", err=True)
            sys.exit(EXIT_UNKNOWN)

    def read(self, path: str) -> Any:
        """Return the JSON document at a path, or print the problem and exit."""
        answer = self.call("GET", path)
        if answer.status != 200:
            fail(answer)
        return answer.json()


def fail(answer: HttpAnswer) -> NoReturn:
    """Print a problem document and exit with the code for its outcome."""
    problem = answer.json()
    code, title = problem.get("code"), problem.get("title")
    click.echo(f"{code} {title} {problem.get('detail', '')}", err=True)
    if answer.status == CONFLICT_STATUS:
        sys.exit(EXIT_CONFLICT)
    sys.exit(EXIT_UNKNOWN if problem.get("outcome") == _UNKNOWN_OUTCOME else EXIT_FAILURE)


def _show(document: Any) -> None:
    click.echo(json.dumps(document, indent=2))


@click.group()
@click.option("--node", "address", default="127.0.0.1:9101", show_default=True, help="host:port")
@click.option("--token-file", type=click.Path(exists=True, dir_okay=False))
@click.pass_context
def ctl(context: click.Context, address: str, token_file: str | None) -> None:
    """Administer a cell."""
    words = Path(token_file).read_text(encoding="utf-8").split() if token_file else [""]
    context.obj = AdminClient(address, words[-1])


@ctl.command()
@click.pass_obj
def status(client: AdminClient) -> None:
    """Show voters, nodes, servers and queues."""
    _show(client.read("/api/status"))


@ctl.command()
@click.option("--group", default="")
@click.pass_obj
def assignments(client: AdminClient, group: str) -> None:
    """List slices with owner and token."""
    for row in client.read(f"/api/assignments?group={group}")["slices"]:
        click.echo(f"{row['group']} {row['first']}-{row['last']} {row['server']} {row['token']}")


@ctl.command()
@click.argument("group")
@click.argument("key")
@click.pass_obj
def explain(client: AdminClient, group: str, key: str) -> None:
    """Tell which server owns a key, under which token, and why."""
    _show(client.read(f"/api/explain?group={group}&key={key}"))


@ctl.command("get")
@click.argument("kind")
@click.argument("name", default="")
@click.pass_obj
def get_object(client: AdminClient, kind: str, name: str) -> None:
    """Show an object, or list a kind."""
    path = f"/api/objects/{kind}/{name}" if name else f"/api/objects?kind={kind}"
    _show(client.read(path))


@ctl.command("put")
@click.argument("kind")
@click.argument("name")
@click.argument("path", type=click.Path(exists=True, dir_okay=False))
@click.option("--version", type=int, help="Version to replace; 0 to create. Default: current.")
@click.option("--wait", is_flag=True, help="Wait until it is in force on every node.")
@click.pass_obj
def put_object(
    client: AdminClient, kind: str, name: str, path: str, version: int | None, wait: bool
) -> None:
    """Store an object from a JSON file, or a policy from its source."""
    text = Path(path).read_text(encoding="utf-8")
    body = {"source": text} if kind == "policy" and path.endswith(".policy") else json.loads(text)
    _store(client, kind, name, body, version, wait)


@ctl.command()
@click.argument("server")
@click.argument("labels", nargs=-1)
@click.option("--wait", is_flag=True, help="Wait until it is in force on every node.")
@click.pass_obj
def label(client: AdminClient, server: str, labels: tuple[str, ...], wait: bool) -> None:
    """Set labels of a server: NAME=VALUE sets, NAME= removes."""
    current = client.read(f"/api/objects/server/{server}")
    body = current["body"]
    for text in labels:
        name, _, value = text.partition("=")
        if value:
            body.setdefault("labels", {})[name] = value
        else:
            body.get("labels", {}).pop(name, None)
    _store(client, "server", server, body, current["version"], wait)


@ctl.command()
@click.argument("server")
@click.option("--undo", is_flag=True)
@click.option("--wait", is_flag=True, help="Wait until it is in force on every node.")
@click.pass_obj
def drain(client: AdminClient, server: str, undo: bool, wait: bool) -> None:
    """Have a server's keys moved to others."""
    current = client.read(f"/api/objects/server/{server}")
    body = {**current["body"], "drain": not undo}
    _store(client, "server", server, body, current["version"], wait)


def _store(
    client: AdminClient, kind: str, name: str, body: Any, version: int | None, wait: bool
) -> None:
    if version is None:
        answer = client.call("GET", f"/api/objects/{kind}/{name}")
        version = answer.json()["version"] if answer.status == 200 else 0
    condition = {"If-Match": f'"{version}"'} if version else {"If-None-Match": "*"}
    answer = client.call("PUT", f"/api/objects/{kind}/{name}", body, condition)
    if answer.status != 200:
        fail(answer)
    stored = answer.json()["version"]
    click.echo(f"{kind}/{name} stored at version {stored}")
    if wait:
        _wait_in_force(client, stored)


def _wait_in_force(client: AdminClient, generation: int) -> None:
    """Wait until every node reports a generation.

    After ``WAIT_LIMIT_S``, list the nodes that don't, and exit.
    """
    end_ms = elapsed_ms() + WAIT_LIMIT_S * 1000
    behind: list[str] = []
    while elapsed_ms() < end_ms:
        nodes = _leader_nodes(client)
        behind = [row["nodeId"] for row in nodes if int(row.get("generation", 0)) < generation]
        if nodes and not behind:
            click.echo(f"in force on {len(nodes)} nodes")
            return
        time.sleep(POLL_INTERVAL_S)
    click.echo(f"behind: {', '.join(behind) or 'no leader is known'}", err=True)
    sys.exit(EXIT_FAILURE)


def _leader_nodes(client: AdminClient) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = client.read("/api/status").get("nodes", [])
    return rows
