"""A whole deployment in one event loop, for tests: real sockets, no processes."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import asyncmy
import zmq
from aiohttp import web
from mysql_mimic.auth import NativePasswordAuthPlugin

from pollencleat.backend.pool import Credentials
from pollencleat.daemon.application import Application
from pollencleat.daemon.settings import AdminToken, Endpoint, Settings
from pollencleat.peers.transport import CurveKeys
from standins.backend import BackendServer, serve
from standins.platform import STATE, make_app

PASSWORD = "advisor-password"
ADMIN_TOKEN = "operator-token-0123456789"
READER_TOKEN = "reader-token-0123456789"
HOST = "127.0.0.1"
READY_POLL_S = 0.02
ROLES = frozenset({"read", "apply", "audit"})


@dataclass
class Deployment:
    """Platform, one group of servers and some nodes."""

    servers: dict[str, BackendServer] = field(default_factory=dict)
    server_ports: dict[str, int] = field(default_factory=dict)
    listening: dict[str, asyncio.Server] = field(default_factory=dict)
    nodes: dict[str, Application] = field(default_factory=dict)
    runner: web.AppRunner | None = None
    platform_port: int = 0
    extra_inventory: str = ""
    connections: int = 35
    _keys: CurveKeys | None = None

    async def start(self, node_count: int) -> None:
        """Start everything and wait until writes and replicas are available.

        Args:
            node_count: Entry VMs, each in its own failure domain.
        """
        public, secret = zmq.curve_keypair()
        self._keys = CurveKeys(public, secret)
        app = make_app()
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        await web.TCPSite(self.runner, HOST, 0).start()
        self.platform_port = self.runner.addresses[0][1]
        self.platform = app[STATE]
        for name in ("sa", "sb", "sc"):
            server = BackendServer(name, 5, self.connections, 0.0, 0.0)
            self.servers[name] = server
            self.listening[name] = await serve(server, HOST, 0, "backend")
            self.server_ports[name] = self.listening[name].sockets[0].getsockname()[1]
        self._store_inventory()
        for index in range(node_count):
            await self.start_node(f"n{index}", f"zone-{index}")
        await self.wait_until_ready()

    def inventory_text(self) -> str:
        """Return the deployment's inventory."""
        text = "[rules]\nseats = 3\ndrain-limit-s = 5\n"
        for index in range(3):
            text += f"[failure-domain zone-{index}]\nregion = r\n"
        text += "[customer advisors]\nusers = advisor\n"
        text += "[customer others]\nusers = other\n"
        text += "[group g]\ndatabase = db\ncustomers = advisors\n"
        text += "[read default]\nmax-age-ms = 10000\n[read exact]\nmax-age-ms = 0\n"
        for index, (name, port) in enumerate(self.server_ports.items()):
            text += (
                f"[server {name}]\ngroup = g\naddress = {HOST}:{port}\n"
                f"failure-domain = zone-{index}\nslots = 5\n"
                f"connections = {self.connections}\n"
            )
        return text + self.extra_inventory

    def _store_inventory(self) -> None:
        audit = {
            "change_id": "first",
            "at_s": int(time.time()),
            "author": "test",
            "subject": "inventory",
            "before": "",
            "after": "version 1",
            "cause": "start",
        }
        value = json.dumps({"source": self.inventory_text(), "audit": audit})
        self.platform.values["inventory"] = (1, value)

    async def start_node(self, node_id: str, domain: str) -> Application:
        """Start an entry VM.

        Args:
            node_id: Its name.
            domain: Its failure domain.

        Returns:
            The application.
        """
        hashed = NativePasswordAuthPlugin.create_auth_string(PASSWORD)
        anywhere = Endpoint(HOST, 0)
        settings = Settings(
            node_id=node_id,
            failure_domain=domain,
            callers=anywhere,
            peers=anywhere,
            admin=anywhere,
            advertise_peers="",
            allow_plaintext=True,
            platform_url=f"http://{HOST}:{self.platform_port}",
            platform_token=node_id,
            curve_keys=self._keys,
            seeds_by_id={},
            hashes_by_user={"advisor": hashed, "other": hashed},
            backend=Credentials(node_id, "backend"),
            admin_tokens=(
                AdminToken("operator", ADMIN_TOKEN, ROLES),
                AdminToken("reader", READER_TOKEN, frozenset({"read"})),
            ),
            tls_certificate="",
            tls_key="",
            log_level="error",
        )
        application = Application(settings)
        await application.start()
        self.nodes[node_id] = application
        return application

    async def wait_until_ready(self) -> None:
        """Wait until every node may write and two replicas are in line."""
        while not all(self._is_ready(node) for node in self.nodes.values()):
            await asyncio.sleep(READY_POLL_S)

    def _is_ready(self, node: Application) -> bool:
        term = node.board.group_term("g")
        if term is None or not term.primary or not node.gateway.holds_permit():
            return False
        fresh = [
            view
            for view in node.board.servers_by_id.values()
            if view.fresh_as_of_s > 0 and view.status.term == term.term
        ]
        return len(fresh) == len(self.servers)

    async def kill_server(self, name: str) -> None:
        """Stop a server's listening and break its connections.

        Args:
            name: The server.
        """
        self.listening[name].close()
        for session in list(self.servers[name].sessions):
            session.connection.stream_writer.close()

    async def connect(self, node_id: str = "n0", **options: object):
        """Connect as a caller.

        Args:
            node_id: The entry VM.
            **options: Options of the driver.

        Returns:
            A driver connection.
        """
        defaults = {
            "host": HOST,
            "port": self.nodes[node_id].callers_port,
            "user": "advisor",
            "password": PASSWORD,
            "database": "db",
            "autocommit": True,
        }
        return await asyncmy.connect(**{**defaults, **options})

    async def stop(self) -> None:
        """Stop everything."""
        for node in self.nodes.values():
            await node.stop()
        for listening in self.listening.values():
            listening.close()
        for server in self.servers.values():
            server.replicator.stop()
            for session in list(server.sessions):
                session.connection.stream_writer.close()
        await self.runner.cleanup()


async def run(connection: asyncmy.Connection, sql: str) -> list[tuple]:
    """Run a statement.

    Args:
        connection: A driver connection.
        sql: The statement.

    Returns:
        All rows.
    """
    cursor = connection.cursor()
    await cursor.execute(sql)
    return list(await cursor.fetchall() or ())
