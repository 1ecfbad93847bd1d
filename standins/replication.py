"""Log replication of a stand-in replica, which pulls from its primary."""

import asyncio
import contextlib
import time

import asyncmy
import asyncmy.errors

from standins.database import Database, decode_entry

RETRY_DELAY_S = 0.05
LOG_MISMATCH_CODE = 1236


class Replicator:
    """Replicates the log of one primary at a time into a database."""

    def __init__(self, database: Database, server_id: str) -> None:
        """Create an idle replicator; follow starts it."""
        self._database = database
        self._server_id = server_id
        self._task: asyncio.Task | None = None
        self.target: tuple[str, str, int] | None = None

    def follow(self, primary_id: str, host: str, port: int) -> None:
        """Replicate from a primary, instead of any previous one.

        Args:
            primary_id: Its id; reported as followed once the logs match.
            host: Its address.
            port: Its port.
        """
        if self.target == (primary_id, host, port):
            return
        self.stop()
        self.target = (primary_id, host, port)
        self._task = asyncio.create_task(self._replicate(primary_id, host, port))

    def stop(self) -> None:
        """Stop replicating and drop entries that are not yet applied."""
        if self._task is not None:
            self._task.cancel()
        self._task = None
        self.target = None
        self._database.following = ""
        self._database.received = []

    async def _replicate(self, primary_id: str, host: str, port: int) -> None:
        apply_task = asyncio.create_task(self._apply_received())
        try:
            while True:
                with contextlib.suppress(asyncmy.errors.MySQLError, OSError):
                    await self._pull_log(primary_id, host, port)
                await asyncio.sleep(RETRY_DELAY_S)
        finally:
            apply_task.cancel()

    async def _pull_log(self, primary_id: str, host: str, port: int) -> None:
        database = self._database
        connection = await asyncmy.connect(
            host=host, port=port, user="replica", connect_timeout=2
        )
        try:
            cursor = connection.cursor()
            while True:
                position = database.received_position
                try:
                    await cursor.execute(
                        f"DUMP LOG FROM {position} TERM {database.last_entry_term} "
                        f"FOR '{self._server_id}'"
                    )
                except asyncmy.errors.MySQLError as error:
                    if error.args[0] == LOG_MISMATCH_CODE:
                        database.following = ""
                        await database.reset()
                        continue
                    raise
                rows = await cursor.fetchall()
                database.received.extend(decode_entry(row[0]) for row in rows)
                database.following = primary_id
        finally:
            connection.close()

    async def _apply_received(self) -> None:
        database = self._database
        while True:
            if not database.received:
                await asyncio.sleep(0.001)
                continue
            entry = database.received[0]
            remaining_lag_s = entry.committed_at_s + database.lag_s - time.time()
            if remaining_lag_s > 0:
                await asyncio.sleep(min(remaining_lag_s, 0.05))
                continue
            await database.apply(entry)
            if database.received and database.received[0] is entry:
                database.received.pop(0)
