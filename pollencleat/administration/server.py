"""HTTP or HTTPS server of the administration API."""

import hmac
import ssl

import pydantic
from aiohttp import web

from pollencleat.administration.node import AdministeredNode, AdminToken
from pollencleat.administration.routes import Operation, operations
from pollencleat.core.errors import (
    AccessDeniedError,
    InventoryError,
    PollencleatError,
    StoreConflictError,
    StoreError,
)

MAX_BODY_BYTES = 2 * 1024 * 1024
_status_by_error: list[tuple[type[Exception], int]] = [
    (InventoryError, 422),
    (StoreConflictError, 409),
    (AccessDeniedError, 403),
    (StoreError, 503),
    (PollencleatError, 503),
    (pydantic.ValidationError, 400),
]


class AdminServer:
    """Serves the administration API of one node.

    Attributes:
        address: URL of the listening socket; empty before ``start``.
    """

    def __init__(
        self,
        node: AdministeredNode,
        tokens: tuple[AdminToken, ...],
        tls: ssl.SSLContext | None,
    ) -> None:
        """Prepare to serve a node; ``start`` opens the socket.

        Args:
            node: The node.
            tokens: Tokens that callers may present.
            tls: TLS context of the listener; None for plain HTTP.
        """
        self._node = node
        self._tokens = tokens
        self._tls = tls
        self._runner: web.AppRunner | None = None
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Start listening, with TLS if there is a context for it.

        Args:
            host: Address to bind.
            port: Port to bind, or 0 to let the system choose one.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        for operation in operations:
            app.router.add_route(
                operation.method, operation.path, self._make_handler(operation)
            )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, ssl_context=self._tls)
        await site.start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        scheme = "https" if self._tls else "http"
        self.address = f"{scheme}://{bound_host}:{bound_port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _make_handler(self, operation: Operation):
        async def handle(request: web.Request) -> web.Response:
            try:
                author = self._authorize(request, operation.role)
                return await operation.handler(self._node, request, author)
            except web.HTTPException:
                raise
            except (PollencleatError, pydantic.ValidationError) as error:
                return _make_error_response(error)

        return handle

    def _authorize(self, request: web.Request, role: str) -> str:
        """Return the name of the request's token, or empty if no role is needed."""
        if not role:
            return ""
        presented_token = request.headers.get("Authorization", "").removeprefix(
            "Bearer "
        )
        author = None
        has_role = False
        for admin_token in self._tokens:
            # Every token is compared, so that timing does not reveal a match.
            if hmac.compare_digest(
                presented_token.encode(errors="surrogateescape"),
                admin_token.token.encode(),
            ):
                author = admin_token.name
                has_role = role in admin_token.roles
        if author is None:
            raise web.HTTPUnauthorized(text="unknown token")
        if not has_role:
            raise AccessDeniedError(f"token {author} lacks the role {role}")
        return author


def _make_error_response(error: Exception) -> web.Response:
    status = 500
    for error_type, code in _status_by_error:
        if isinstance(error, error_type):
            status = code
            break
    body = {"error": type(error).__name__, "detail": str(error)}
    if isinstance(error, InventoryError):
        body["errors"] = [str(item) for item in error.errors]
    return web.json_response(body, status=status)
