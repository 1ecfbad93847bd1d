"""A whole deployment in one event loop, with real sockets, for tests."""

import asyncio
import json
import time
from dataclasses import dataclass, field

import asyncmy
import zmq
from aiohttp import web
from mysql_mimic.auth import NativePasswordAuthPlugin

from pollencleat.administration.node import AdminToken
from pollencleat.backend.pool import Credentials
from pollencleat.daemon.application import Application
from pollencleat.daemon.settings import Endpoint, Settings
from pollencleat.peers.transport import CurveKeys
from standins.backend import BackendServer, serve
from standins.platform import STATE, make_app

PASSWORD = "advisor-password"
ADMIN_TOKEN = "operator-token-0123456789"
READER_TOKEN = "reader-token-0123456789"
HOST = "127.0.0.1"
READY_POLL_INTERVAL_S = 0.02
ROLES = frozenset({"read", "apply", "audit"})


@dataclass
class Deployment:
    """A platform, one group of backend servers and some entry VMs.

    Attributes:
        server_ports: Port of each backend server, by name.
        extra_inventory: Text appended to the inventory.
        connections: Connection limit of each backend server.
    """

    servers: dict[str, BackendServer] = field(default_factory=dict)
    server_ports: dict[str, int] = field(default_factory=dict)
    listeners: dict[str, asyncio.Server] = field(default_factory=dict)
    nodes: dict[str, Application] = field(default_factory=dict)
    runner: web.AppRunner | None = None
    platform_port: int = 0
    extra_inventory: str = ""
    connections: int = 35
    _keys: CurveKeys | None = None

    async def start(self, node_count: int) -> None:
        """Start the deployment and wait until writes and replicas are available.

        Args:
            node_count: Number of entry VMs, each in its own failure domain.
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
            self.listeners[name] = await serve(server, HOST, 0, "backend")
            self.server_ports[name] = self.listeners[name].sockets[0].getsockname()[1]
        self._store_inventory()
        for index in range(node_count):
            await self.start_node(f"n{index}", f"zone-{index}")
        await self.wait_until_ready()

    def inventory_text(self) -> str:
        """Return the deployment's inventory as text."""
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
            node_id: The entry VM's id.
            domain: The entry VM's failure domain.

        Returns:
            The started application.
        """
        password_hash = NativePasswordAuthPlugin.create_auth_string(PASSWORD)
        any_port = Endpoint(HOST, 0)
        settings = Settings(
            node_id=node_id,
            failure_domain=domain,
            callers=any_port,
            peers=any_port,
            admin=any_port,
            advertise_peers="",
            allow_plaintext=True,
            platform_url=f"http://{HOST}:{self.platform_port}",
            platform_token=node_id,
            curve_keys=self._keys,
            seeds_by_id={},
            hashes_by_user={"advisor": password_hash, "other": password_hash},
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
        """Wait until every node may write and sees every server in the current term."""
        while not all(self._is_ready(node) for node in self.nodes.values()):
            await asyncio.sleep(READY_POLL_INTERVAL_S)

    def _is_ready(self, node: Application) -> bool:
        term = node.board.group_term("g")
        if term is None or not term.primary or not node.gateway.holds_permit():
            return False
        up_to_date = [
            view
            for view in node.board.servers_by_id.values()
            if view.fresh_as_of_s > 0 and view.status.term == term.term
        ]
        return len(up_to_date) == len(self.servers)

    async def kill_server(self, name: str) -> None:
        """Close a backend server's listener and connections.

        Args:
            name: The server's name.
        """
        self.listeners[name].close()
        for session in list(self.servers[name].sessions):
            session.connection.stream_writer.close()

    async def connect(self, node_id: str = "n0", **options: object):
        """Connect to an entry VM as a client.

        Args:
            node_id: The entry VM's id.
            **options: Driver options that override the defaults.

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
        """Stop all nodes, backend servers and the platform."""
        for node in self.nodes.values():
            await node.stop()
        for listener in self.listeners.values():
            listener.close()
        for server in self.servers.values():
            server.replicator.stop()
            for session in list(server.sessions):
                session.connection.stream_writer.close()
        await self.runner.cleanup()


async def run(connection: asyncmy.Connection, sql: str) -> list[tuple]:
    """Execute a statement.

    Args:
        connection: A driver connection.
        sql: The statement.

    Returns:
        All rows of the result.
    """
    cursor = connection.cursor()
    await cursor.execute(sql)
    return list(await cursor.fetchall() or ())
