"""Connections to a server whose packets do not match the commands sent to it."""

import asyncio

import pytest

from pollencleat.backend import operations
from pollencleat.backend.connection import QUERY_COMMAND, open_connection
from pollencleat.backend.monitor import ServerMonitor
from pollencleat.backend.pool import Credentials
from pollencleat.callers.commands import prepare_on
from pollencleat.core.data import BackendServer
from pollencleat.core.errors import BackendError, BackendLostError

GREETING = (
    b"\x0a8.0.36\0"
    + (7).to_bytes(4, "little")
    + b"saltsalt\0"
    + (0xF7FF).to_bytes(2, "little")
    + b"\x21\x02\x00"
    + (0x0008).to_bytes(2, "little")
    + b"\x15"
    + bytes(10)
    + b"saltsaltsalt\0"
    + b"mysql_native_password\0"
)
OK_PAYLOAD = b"\x00\x01\x00\x02\x00\x00\x00"
EOF_PAYLOAD = b"\xfe\x00\x00\x02\x00"


def make_packets(*payloads, sequence=1):
    return b"".join(
        len(payload).to_bytes(3, "little") + bytes([sequence + number]) + payload
        for number, payload in enumerate(payloads)
    )


def make_rows(*values):
    """Return the answer to a query: one row of texts."""
    column = b"\x03def\0\0\0\x01c\x01c\x0c\x21\0\xff\0\0\0\xfd\0\0\0\0\0"
    row = b"".join(bytes([len(value)]) + value for value in values)
    count = len(values)
    return make_packets(
        bytes([count]), *[column] * count, EOF_PAYLOAD, row, EOF_PAYLOAD
    )


OK_ANSWER = make_packets(OK_PAYLOAD)


def answer_numbered(*values):
    """Return a step that also answers the number at the end of the query."""

    def answer(command):
        return make_rows(*values, command.rsplit(b" ", 1)[1])

    return answer


OLD_STATUS = answer_numbered(b"1", b"5", b"5", b"1", b"0", b"")
NEW_STATUS = answer_numbered(b"2", b"9", b"9", b"2", b"1", b"other")


class ScriptedServer:
    """Answers each command with the next entry of a script.

    An entry is the bytes to send, or a function that returns them for a command.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.commands = []
        self.connections = 0
        self.writers = []

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for writer in self.writers:
            writer.close()

    async def connect(self):
        return await open_connection("127.0.0.1", self.port, "u", "p", "")

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        writer.write(make_packets(GREETING, sequence=0))
        try:
            await self._read_packet(reader)
            writer.write(make_packets(OK_PAYLOAD, sequence=2))
            while True:
                command = await self._read_packet(reader)
                self.commands.append(command)
                step = self.script.pop(0)
                writer.write(step if isinstance(step, bytes) else step(command))
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()

    async def _read_packet(self, reader):
        header = await reader.readexactly(4)
        return await reader.readexactly(int.from_bytes(header[:3], "little"))


async def test_connection_with_unread_packets_is_not_usable():
    """Its second answer was taken for the answer to the next user's statement."""
    async with ScriptedServer(OK_ANSWER + OK_ANSWER, make_rows(b"mine")) as server:
        connection = await server.connect()
        await connection.run("UPDATE t SET a = 1")
        await asyncio.sleep(0.05)
        assert not connection.is_usable
        connection.close()


@pytest.mark.parametrize("is_raw", [False, True])
async def test_nothing_is_sent_on_a_connection_with_unread_packets(is_raw):
    async with ScriptedServer(make_rows(b"1") * 2, make_rows(b"2")) as server:
        connection = await server.connect()
        assert await connection.run("SELECT 1") == [("1",)]
        await asyncio.sleep(0.05)
        with pytest.raises(BackendLostError):
            if is_raw:
                await connection.send_command(QUERY_COMMAND, b"SELECT 2")
            else:
                await connection.run("SELECT 2")
        assert len(server.commands) == 1
        assert not connection.connected


async def test_packets_that_the_event_loop_has_not_read_yet_are_noticed():
    async with ScriptedServer(OK_ANSWER, make_rows(b"mine")) as server:
        connection = await server.connect()
        await connection.run("UPDATE t SET a = 1")
        server.writers[0].write(OK_ANSWER)
        with pytest.raises(BackendLostError):
            await connection.run("SELECT 'mine'")
        assert len(server.commands) == 1


@pytest.mark.parametrize("is_raw", [False, True])
async def test_answer_out_of_sequence_ends_the_connection(is_raw):
    """It raised a ValueError, and the connection could be used again."""
    async with ScriptedServer(make_packets(OK_PAYLOAD, sequence=3)) as server:
        connection = await server.connect()
        with pytest.raises(BackendLostError):
            if is_raw:
                await connection.send_command(QUERY_COMMAND, b"SELECT 1")
                await connection.read_raw()
            else:
                await connection.run("SELECT 1")
        assert not connection.is_usable


async def test_status_is_not_read_from_an_unread_answer():
    """The second answer to a status request was taken for that to the next."""
    async with ScriptedServer(
        lambda command: OLD_STATUS(command) * 2, NEW_STATUS
    ) as server:
        backend = BackendServer("s", "g", "127.0.0.1", server.port, "d", 2, 30)
        monitor = ServerMonitor(backend, Credentials("u", "p"))
        assert (await monitor.read_status()).term == 1
        await asyncio.sleep(0.05)
        assert (await monitor.read_status()).term == 2
        assert server.connections == 2
        monitor.close()


async def test_status_is_not_read_from_a_second_answer_that_arrives_late():
    """It arrived after the next request had been sent."""
    first = []

    def answer_first(command):
        first.append(OLD_STATUS(command))
        return first[0]

    async with ScriptedServer(
        answer_first, lambda command: first[0] + NEW_STATUS(command), NEW_STATUS
    ) as server:
        backend = BackendServer("s", "g", "127.0.0.1", server.port, "d", 2, 30)
        monitor = ServerMonitor(backend, Credentials("u", "p"))
        assert (await monitor.read_status()).term == 1
        with pytest.raises(BackendError):
            await monitor.read_status()
        assert (await monitor.read_status()).term == 2
        monitor.close()


async def test_position_is_not_read_from_an_answer_to_an_earlier_request():
    """A write was acknowledged on the position of an earlier one."""
    first = []

    def answer_first(command):
        first.append(answer_numbered(b"1", b"5")(command))
        return first[0]

    async with ScriptedServer(answer_first, lambda command: first[0]) as server:
        connection = await server.connect()
        assert await operations.read_position(connection) == (1, 5)
        with pytest.raises(BackendLostError):
            await operations.read_position(connection)
        assert not connection.is_usable


@pytest.mark.xfail(reason="KNOWN-RED 24", strict=True)
async def test_read_is_not_answered_by_a_second_answer_that_arrives_late():
    first = make_rows(b"a")
    async with ScriptedServer(first, first + make_rows(b"b")) as server:
        connection = await server.connect()
        for value in (b"a", b"b"):
            await connection.send_command(QUERY_COMMAND, b"SELECT 1")
            packets = [packet async for packet in connection.read_result()]
            assert packets[-2] == b"\x01" + value
        connection.close()


@pytest.mark.parametrize(
    "answer",
    [OK_ANSWER, make_rows(b"1"), make_packets(b"")],
    ids=["ok", "rows", "empty"],
)
async def test_other_answer_is_not_taken_for_that_to_a_preparation(answer):
    """Its bytes were taken for the id of a statement, which would then be executed."""
    async with ScriptedServer(answer) as server:
        connection = await server.connect()
        with pytest.raises(BackendLostError):
            await prepare_on(connection, "SELECT 1")
        assert not connection.is_usable and not connection.statement_ids_by_text


async def test_result_of_another_statement_is_an_error_of_the_connection():
    async with ScriptedServer(OK_ANSWER) as server:
        connection = await server.connect()
        with pytest.raises(BackendError):
            await operations.read_position(connection)
        connection.close()
