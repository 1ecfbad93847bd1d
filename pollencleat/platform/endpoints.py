"""HTTP endpoints for the platform's readiness checks and for metrics."""

from collections.abc import Callable

from pollencleat.core.faults import ErrorRecorder
from pollencleat.reports.metrics import Metrics
from pollencleat.web.server import OK, SERVICE_UNAVAILABLE, HttpAnswer, HttpServer

READY_PATH = "/api/readiness"
METRICS_PATH = "/metrics"


class HttpEndpoints:
    """Runs the HTTP servers of one process."""

    def __init__(self, metrics: Metrics, faults: ErrorRecorder) -> None:
        """Start without servers.

        Args:
            metrics: The metrics to serve; malformed requests are counted there.
            faults: Records unexpected errors.
        """
        self._metrics = metrics
        self._faults = faults
        self._servers: list[HttpServer] = []

    async def serve_readiness(
        self, host: str, port: int, is_ready: Callable[[], bool]
    ) -> int:
        """Answer whether this node takes new connections.

        Args:
            host: Address to listen on.
            port: Port to listen on; 0 picks a free one.
            is_ready: Called for each request; False is answered with status 503.

        Returns:
            The port that is listened on.
        """

        def handle() -> HttpAnswer:
            return HttpAnswer(OK if is_ready() else SERVICE_UNAVAILABLE)

        return await self._serve(host, port, READY_PATH, handle)

    async def serve_metrics(self, host: str, port: int) -> int:
        """Serve all metrics in text format for scrapers.

        Args:
            host: Address to listen on.
            port: Port to listen on; 0 picks a free one.

        Returns:
            The port that is listened on.
        """
        return await self._serve(
            host, port, METRICS_PATH, lambda: HttpAnswer(OK, self._metrics.render())
        )

    async def _serve(
        self, host: str, port: int, path: str, handle: Callable[[], HttpAnswer]
    ) -> int:
        server = HttpServer(
            {path: handle},
            lambda failed_path, error: self._faults.record(failed_path, error),
            lambda: self._metrics.count("http_request_malformed"),
        )
        self._servers.append(server)
        return await server.start(host, port)

    async def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()
