"""Administration API: configuration objects and the state of the cell over HTTP and JSON.

Reads are served from the node's own view, so they work while the platform's store is
unavailable. Changes are written to the store under the condition of ``If-Match``.
"""

import json
import re
from typing import Any
from urllib.parse import parse_qs, unquote

from ploverhatch.admin.changes import ChangeApplier, ChangeOutcome, check_body
from ploverhatch.admin.explain import explain_key, explain_request
from ploverhatch.admin.node_view import AdministeredNode
from ploverhatch.admin.tokens import Role, TokenList
from ploverhatch.common import results
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.problem import HttpReply, json_reply, problem_reply
from ploverhatch.transport.wsgi import Environ, read_json, request_target

LOG = PartLogger("admin")

_OBJECT_PATH = re.compile(r"/api/objects/([^/]+)/([^/]+)")
_VERSION = re.compile(r'"(\d+)"')


class AdminApi:
    """Serves the requests of operators to one node."""

    def __init__(self, node: AdministeredNode, tokens: TokenList) -> None:
        self._node = node
        self._tokens = tokens
        self._changes = ChangeApplier(node.store)

    def handle(self, environ: Environ) -> HttpReply:
        """Serve one request; health, readiness and metrics need no token."""
        path, query = request_target(environ)
        method = environ["REQUEST_METHOD"]
        public_reply = self._handle_public(path)
        if public_reply is not None:
            return public_reply
        role = self._tokens.role_of(environ.get("HTTP_AUTHORIZATION", ""))
        if role is Role.NONE:
            return problem_reply(results.UNAUTHORIZED, extra=(("WWW-Authenticate", "Bearer"),))
        if method == "GET":
            return self._read(path, parse_qs(query))
        if role < Role.OPERATE:
            return problem_reply(results.FORBIDDEN)
        try:
            return self._change(path, method, environ)
        except (json.JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
            return problem_reply(results.BAD_REQUEST, str(error))

    def _handle_public(self, path: str) -> HttpReply | None:
        if path == "/healthz":
            return json_reply({"alive": True})
        if path == "/readyz":
            ready = self._node.view.ready and not self._node.leaving
            return json_reply({"ready": ready}, 200 if ready else 503)
        if path == "/metrics":
            self._node.update_gauges()
            body = self._node.metrics.render()
            headers = (
                ("Content-Type", "text/plain; version=0.0.4"),
                ("Content-Length", str(len(body))),
            )
            return HttpReply(200, headers, body)
        return None

    # ---- reads --------------------------------------------------------------------

    def _read(self, path: str, query: dict[str, list[str]]) -> HttpReply:
        if path == "/api/objects":
            return json_reply({"items": self._objects(query.get("kind", [""])[0])})
        if path == "/api/status":
            return json_reply(self._status())
        if path == "/api/assignments":
            return json_reply({"slices": self._assignments(query.get("group", [""])[0])})
        if path == "/api/explain":
            return json_reply(self._explain({name: row[0] for name, row in query.items()}))
        found = _OBJECT_PATH.fullmatch(path)
        if found is None:
            return problem_reply(results.OBJECT_ABSENT, path)
        return self._object(unquote(found[1]), unquote(found[2]))

    def _objects(self, kind: str) -> list[dict[str, Any]]:
        return [
            {"kind": item.kind, "name": item.name, "version": item.version}
            | {"body": json.loads(item.body)}
            for item in self._node.view.state.configuration.objects.values()
            if kind in {"", item.kind}
        ]

    def _object(self, kind: str, name: str) -> HttpReply:
        item = self._node.view.state.configuration.objects.get((kind, name))
        if item is None:
            return problem_reply(results.OBJECT_ABSENT, f"{kind}/{name}")
        document = {"kind": kind, "name": name, "version": item.version}
        etag = (("ETag", f'"{item.version}"'),)
        return json_reply({**document, "body": json.loads(item.body)}, extra=etag)

    def _status(self) -> dict[str, Any]:
        document: dict[str, Any] = self._node.report().to_dict()
        document["routers_queues"] = self._node.router.queues()
        return document

    def _assignments(self, group: str) -> list[dict[str, Any]]:
        return [
            {
                "group": item.range.group,
                "first": f"{item.range.first:016x}",
                "last": f"{item.range.last:016x}",
                "server": item.server,
                "token": item.token,
            }
            for item in self._node.view.state.assignments
            if group in {"", item.range.group}
        ]

    def _explain(self, query: dict[str, str]) -> dict[str, Any]:
        if "path" in query:
            return explain_request(self._node.view, query.get("method", "GET"), query["path"])
        return explain_key(self._node.view, query.get("group", ""), query.get("key", ""))

    # ---- changes ------------------------------------------------------------------

    def _change(self, path: str, method: str, environ: Environ) -> HttpReply:
        found = _OBJECT_PATH.fullmatch(path)
        if found is None or method not in {"PUT", "DELETE"}:
            return problem_reply(results.OBJECT_ABSENT, path)
        kind, name = unquote(found[1]), unquote(found[2])
        expected = _expected_version(environ)
        if expected is None:
            return problem_reply(results.PRECONDITION_NEEDED)
        if method == "DELETE":
            outcome = self._changes.delete(kind, name, expected)
        else:
            outcome = self._put(kind, name, read_json(environ), expected)
        LOG.info(
            "Change of an object handled.", method=method, kind=kind, name=name, expected=expected,
            result=outcome.result.name, version=outcome.version,
        )  # fmt: skip
        return _outcome_reply(outcome)

    def _put(self, kind: str, name: str, body: Any, expected: int) -> ChangeOutcome:
        labels = {server: spec.selector_labels for server, spec in self._node.view.servers.items()}
        fault = check_body(kind, name, body, labels)
        if fault:
            return ChangeOutcome(results.CHANGE_INVALID, detail=fault)
        return self._changes.put(kind, name, body, expected)


def _expected_version(environ: Environ) -> int | None:
    """Return N of ``If-Match: "N"``, zero for ``If-None-Match: *``, else ``None``."""
    if environ.get("HTTP_IF_NONE_MATCH") == "*":
        return 0
    found = _VERSION.fullmatch(environ.get("HTTP_IF_MATCH", ""))
    return int(found[1]) if found else None


def _outcome_reply(outcome: ChangeOutcome) -> HttpReply:
    if outcome.result is results.CHANGE_ACCEPTED:
        document = {"version": outcome.version, "code": outcome.result.code}
        return json_reply(document, extra=(("ETag", f'"{outcome.version}"'),))
    retry_after_s = 1.0 if outcome.result.retryable else None
    extra = (("ETag", f'"{outcome.version}"'),) if outcome.version else ()
    return problem_reply(outcome.result, outcome.detail, retry_after_s, extra)
