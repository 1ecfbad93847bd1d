"""Sessions of the soak's callers that use every kind of statement and any text."""

import asyncio
import random
import time
from typing import TYPE_CHECKING

from bench.platform_cluster import LineAnswer, LineClient
from bench.soak_checks import Attempt, Context
from bench.soak_texts import (
    ITEMS,
    PREPARED_NAMES,
    VALUE_NAME_WEIGHTS,
    VALUE_NAMES,
    draw_data,
    draw_shape,
    draw_value,
)

if TYPE_CHECKING:
    from bench.soak import Soak

MAX_OPERATIONS = 60
MAX_STATEMENTS = 12
"""Most statements of a transaction."""

PAUSES_S = (0.0, 0.02, 0.3)
"""Longest pauses in seconds between two statements; a session draws one."""

SETUP_PROBABILITY = 0.3
"""Probability that a session sets a value or prepares or forgets a statement next."""

TRANSACTION_PROBABILITY = 0.4
ROLLBACK_PROBABILITY = 0.2
VALUE_NAME_COUNTS = (0, 1, 1, 3)
"""Numbers of value names that a session uses; it draws one."""

LEAVE_PROBABILITY = 0.01
"""Probability that a caller leaves after a statement of a transaction."""


class LeftError(OSError):
    """The caller leaves amid a transaction."""


class SetupRefusedError(OSError):
    """A statement that only changes the session was refused, which ends the session."""


class SoakSession:
    """One session of a caller."""

    def __init__(
        self,
        soak: "Soak",
        generator: random.Random,
        client: LineClient,
        database: str,
        max_age_s: float,
    ) -> None:
        """Use a started session.

        Args:
            soak: The run, which records what happens.
            generator: Draws all choices.
            client: The connection.
            database: What it is connected to.
            max_age_s: Maximum staleness of reads.
        """
        self._soak = soak
        self._generator = generator
        self._client = client
        self._database = database
        self._max_age_s = max_age_s
        self._values: dict[str, str] = {}
        self._shapes_by_name: dict[str, str] = {}
        self._own_writes: tuple[str, ...] = ()
        self._pause_s = generator.choice(PAUSES_S)
        # Sessions with few names of their own meet what others left on connections.
        self._value_names = generator.choices(
            VALUE_NAMES, VALUE_NAME_WEIGHTS, k=generator.choice(VALUE_NAME_COUNTS)
        )

    async def run(self) -> None:
        """Send requests until the session ends or its state becomes unknown."""
        for _ in range(self._generator.randint(1, MAX_OPERATIONS)):
            if self._soak.is_over:
                return
            attempt = Attempt(
                self._database,
                self._max_age_s,
                time.monotonic(),
                own_writes=self._own_writes if self._database == "own-db" else (),
            )
            try:
                if self._generator.random() < SETUP_PROBABILITY:
                    await self._set_up()
                    continue
                answer = await self._run_operation(attempt)
            except (OSError, TimeoutError):
                self._soak.finish_attempt(attempt, None)
                return
            self._soak.finish_attempt(attempt, answer)
            if answer.state != "I":
                return
            if attempt.is_acknowledged:
                self._own_writes = (*self._own_writes, *attempt.writes)
            await self._pause()

    async def _pause(self) -> None:
        await asyncio.sleep(self._generator.uniform(0.0, self._pause_s))

    async def _set_up(self) -> LineAnswer:
        """Change a value or a prepared statement; leave if that is refused."""
        choice = self._generator.random()
        if choice < 0.5 and self._value_names:
            answer = await self._set_value()
        elif choice < 0.85 or not self._shapes_by_name:
            answer = await self._prepare()
        else:
            answer = await self._forget()
        if answer.error:
            raise SetupRefusedError(answer.error)
        return answer

    async def _set_value(self) -> LineAnswer:
        name = self._generator.choice(self._value_names)
        value = draw_value(self._generator)
        answer = await self._soak.ask(self._client, f"SET {name} {value}")
        if not answer.error:
            self._values[name] = value
        return answer

    async def _prepare(self) -> LineAnswer:
        name = self._generator.choice(PREPARED_NAMES)
        access = self._generator.choice(("READ", "WRITE"))
        shape = f"{access} {draw_shape(self._generator)}"
        answer = await self._soak.ask(self._client, f"PREPARE {name} {shape}")
        if not answer.error:
            self._shapes_by_name[name] = shape
        return answer

    async def _forget(self) -> LineAnswer:
        name = self._generator.choice(sorted(self._shapes_by_name))
        text = f"DEALLOCATE {name}"
        answer = await self._soak.ask(self._client, text)
        self._note_unknown(text, answer)
        if not answer.error:
            del self._shapes_by_name[name]
        return answer

    def _note_unknown(self, text: str, answer: LineAnswer) -> None:
        if answer.error == "UNKNOWN":
            self._soak.unknown_names.append(text)

    async def _run_operation(self, attempt: Attempt) -> LineAnswer:
        generator = self._generator
        if generator.random() >= TRANSACTION_PROBABILITY:
            return await self._send_statement(attempt, False)
        attempt.is_transaction = True
        is_read_only = generator.random() < 0.3
        begin = "BEGIN READ" if is_read_only else "BEGIN"
        answer = await self._soak.ask(self._client, begin)
        for _ in range(generator.randint(1, MAX_STATEMENTS)):
            if answer.error:
                break
            if generator.random() < SETUP_PROBABILITY:
                answer = await self._set_up()
            else:
                answer = await self._send_statement(attempt, is_read_only)
            if generator.random() < LEAVE_PROBABILITY:
                raise LeftError
            await self._pause()
        if answer.error:
            if answer.state == "E":
                ending = await self._soak.ask(self._client, "ROLLBACK")
                return LineAnswer((), "", answer.error, "", ending.state)
            return answer
        if generator.random() < ROLLBACK_PROBABILITY:
            return await self._soak.roll_back(self._client, attempt)
        context = Context(tuple(sorted(self._values.items())))
        return await self._soak.send(self._client, attempt, "COMMIT", context)

    async def _send_statement(self, attempt: Attempt, is_read_only: bool) -> LineAnswer:
        generator = self._generator
        item = generator.choice(ITEMS)
        values = tuple(sorted(self._values.items()))
        names = [
            name
            for name, shape in self._shapes_by_name.items()
            if not (is_read_only and shape.startswith("WRITE"))
        ]
        if names and generator.random() < 0.5:
            name = generator.choice(sorted(names))
            shape = self._shapes_by_name[name]
            access, text = shape.partition(" ")[0], f"EXECUTE {name} {item}"
        else:
            shape = ""
            is_read = is_read_only or generator.random() < 0.5
            access = "READ" if is_read else "WRITE"
            text = f"{access} {item}"
        if access == "WRITE":
            text += f" {draw_data(generator)}"
        answer = await self._soak.send(
            self._client, attempt, text, Context(values, shape), access
        )
        self._note_unknown(text, answer)
        return answer
