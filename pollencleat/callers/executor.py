"""Carrying out statements.

Each function ends in one of three ways: the answer was handed on, a CallerError with
its outcome was raised before anything was handed on, or the connection to the caller
is closed because an answer broke off in the middle.
"""

import asyncio
import dataclasses

from pollencleat.backend import operations
from pollencleat.backend.connection import BackendStatementError
from pollencleat.backend.pool import Lease
from pollencleat.callers.commands import Command
from pollencleat.callers.gateway import Gateway, unix_time_s
from pollencleat.callers.relay import (
    Answer,
    EndMaker,
    forward_result_set,
    read_answer_start,
)
from pollencleat.callers.session import CallerSession, Transaction
from pollencleat.callers.stream import CallerStream
from pollencleat.core.data import Customer, DatabaseGroup, GroupTerm, Position, ReadRule
from pollencleat.core.errors import (
    BackendError,
    BackendLostError,
    BackendUnreachableError,
    FailedError,
    InvalidHintError,
    NoReplicaError,
    RequestAlreadyDoneError,
    SessionHistoryLostError,
    TransactionLostError,
    UnknownOutcomeError,
    UnsupportedStatementError,
    WritesUnavailableError,
)
from pollencleat.journal import requests
from pollencleat.routing.reads import ReadRequest
from pollencleat.routing.statements import Action, Hints
from pollencleat.routing.tokens import floor_position, parse_token

READ_ANSWER_LIMIT_S = 2.0
"""How long a server may take to begin the answer to a read before it is asked again
elsewhere."""

WRITE_ANSWER_LIMIT_S = 30.0
"""How long a server may take to begin the answer to a write."""

POSITION_LIMIT_S = 0.5
DEFAULT_KIND = "default"
DEFAULT_MAX_AGE_MS = 10_000
MAX_AGE_LIMIT_MS = 3_600_000
NO_HISTORY_TOKEN = "none"
READ_TRIES = 3
JOURNAL_MISSING_CODE = 1146
READ_ONLY_CODES = frozenset({1290, 1836})
"""A server that is read-only refuses a write before it runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """A statement succeeded without a result set."""

    affected_rows: int = 0
    last_insert_id: int = 0
    warnings: int = 0


class Executor:
    """Carries out the statements of one caller's session."""

    def __init__(
        self,
        gateway: Gateway,
        session: CallerSession,
        stream: CallerStream,
        end_maker: EndMaker,
    ) -> None:
        """Work for one caller."""
        self.gateway = gateway
        self.session = session
        self.stream = stream
        self.end_maker = end_maker
        self.caller_deprecates_eof = True

    # Reads.

    async def read(
        self, customer: Customer, group: DatabaseGroup, command: Command, hints: Hints
    ) -> Done | None:
        """Answer a read outside of a transaction.

        Args:
            customer: Who asks.
            group: The group.
            command: What to send.
            hints: The caller's hints.

        Returns:
            None if a result set was handed on.
        """
        self.gateway.retry_budget.record_attempt()
        tries = 0
        while True:
            tries += 1
            request = await self.make_read_request(group, hints)
            server_id = await self.gateway.choose_server(request)
            try:
                return await self._read_from(server_id, customer, group, command)
            except (BackendUnreachableError, BackendLostError) as error:
                if tries >= READ_TRIES or not self.gateway.retry_budget.take():
                    if isinstance(error, BackendUnreachableError):
                        raise
                    raise NoReplicaError(f"the read broke off: {error}", 200) from error
                self.gateway.metrics.count("read_retried", group.group_id)
                await self._note_failure(server_id)

    async def _note_failure(self, server_id: str) -> None:
        await self.gateway.sample(server_id)

    async def make_read_request(
        self, group: DatabaseGroup, hints: Hints
    ) -> ReadRequest:
        """Return what a read of this session needs.

        Args:
            group: The group.
            hints: The caller's hints.

        Returns:
            Floor and age limit.
        """
        rule = self._find_read_rule(hints)
        floor = await self._find_floor(group.group_id)
        max_age_ms = rule.max_age_ms
        if hints.max_age_ms is not None:
            max_age_ms = min(max_age_ms, hints.max_age_ms)
        max_age_ms = min(max_age_ms, MAX_AGE_LIMIT_MS)
        return ReadRequest(
            group.group_id, floor, max_age_ms / 1000, rule.wait_ms / 1000
        )

    def _find_read_rule(self, hints: Hints) -> ReadRule:
        rules = self.gateway.board.inventory.read_rules_by_kind
        rule = rules.get(hints.kind or DEFAULT_KIND)
        if rule is not None:
            return rule
        if hints.kind:
            raise InvalidHintError(f"no read kind {hints.kind!r} is declared")
        return ReadRule(DEFAULT_KIND, DEFAULT_MAX_AGE_MS)

    async def _find_floor(self, group_id: str) -> int:
        session = self.session
        if group_id not in session.floor_known:
            session.note_seen(group_id, await self.gateway.sample_floor(group_id))
            session.floor_known.add(group_id)
        seen = session.seen_by_group.get(group_id)
        if seen is None:
            return 0
        term = self.gateway.board.group_term(group_id)
        if term is None or term.term < seen.term:
            raise NoReplicaError(
                f"group {group_id}: this node does not know term {seen.term} yet", 200
            )
        try:
            return floor_position(term, seen)
        except SessionHistoryLostError:
            # Told once; afterwards the session goes on from what there is now.
            session.seen_by_group.pop(group_id, None)
            session.floor_known.discard(group_id)
            raise

    async def _read_from(
        self, server_id: str, customer: Customer, group: DatabaseGroup, command: Command
    ) -> Done | None:
        gateway = self.gateway
        term = gateway.board.group_term(group.group_id)
        lease = await gateway.borrow(
            server_id, customer, term.term, gateway.queue_deadline_s()
        )
        is_primary = server_id == term.primary
        gateway.metrics.count("read_primary" if is_primary else "read_replica")
        reusable = False
        try:
            answer = await self._ask(lease, command, READ_ANSWER_LIMIT_S)
            if is_primary and not self._may_show_primary_read(term):
                raise BackendLostError("the primary may have been replaced")
            status = await self._hand_on(answer, lease)
            reusable = status is not None
            return None
        except TimeoutError:
            raise BackendLostError(f"{server_id} does not answer") from None
        finally:
            lease.give_back(reusable)

    def _may_show_primary_read(self, term: GroupTerm) -> bool:
        if self.gateway.is_still_writable(term):
            return True
        return not self.gateway.holds_permit()

    async def _ask(self, lease: Lease, command: Command, limit_s: float) -> Answer:
        async with asyncio.timeout(limit_s):
            await command.send(lease.connection)
            return await read_answer_start(lease.connection)

    async def _hand_on(self, answer: Answer, lease: Lease) -> int | None:
        if not answer.is_result_set:
            await self.stream.write(answer.first)
            return answer.ok.status if answer.ok else 0
        try:
            status = await forward_result_set(
                answer,
                lease.connection,
                self.stream,
                self.caller_deprecates_eof,
                self.end_maker,
            )
        except BackendLostError as error:
            raise FailedError(f"the result broke off: {error}") from error
        await self.stream.drain()
        return status

    # Writes outside of a transaction.

    async def write(
        self, customer: Customer, group: DatabaseGroup, command: Command, hints: Hints
    ) -> Done | None:
        """Run one write.

        Args:
            customer: Who asks.
            group: The group.
            command: What to send.
            hints: The caller's hints; with a request id it runs at most once.

        Returns:
            The result, or None if a result set was handed on.
        """
        term = self.gateway.require_writable(group.group_id)
        self._require_known_history(term)
        lease = await self._borrow_primary(customer, term)
        reusable = False
        try:
            # The permit may have run out in the queue.
            if not self.gateway.is_still_writable(term):
                reusable = True
                raise WritesUnavailableError(
                    f"group {group.group_id}: permit lapsed", 200
                )
            if hints.request_id:
                done = await self._run_once(customer, term, lease, command, hints)
            else:
                done = await self._run_write(term, lease, command)
            reusable = True
            return done
        except BackendStatementError as error:
            reusable = True
            if error.code in READ_ONLY_CODES:
                raise WritesUnavailableError(
                    f"{term.primary} is read-only", 200
                ) from error
            raise
        except (BackendLostError, TimeoutError) as error:
            raise UnknownOutcomeError(f"no answer from {term.primary}: {error}") from (
                error
            )
        finally:
            lease.give_back(reusable)

    def _require_known_history(self, term: GroupTerm) -> None:
        seen = self.session.seen_by_group.get(term.group_id)
        if seen is None:
            return
        try:
            floor_position(term, seen)
        except SessionHistoryLostError:
            self.session.seen_by_group.pop(term.group_id, None)
            self.session.floor_known.discard(term.group_id)
            raise

    async def _borrow_primary(self, customer: Customer, term: GroupTerm) -> Lease:
        gateway = self.gateway
        return await gateway.borrow(
            term.primary, customer, term.term, gateway.queue_deadline_s()
        )

    async def _run_write(
        self, term: GroupTerm, lease: Lease, command: Command
    ) -> Done | None:
        answer = await self._ask(lease, command, WRITE_ANSWER_LIMIT_S)
        if answer.is_error:
            raise BackendStatementError(answer.first)
        if answer.is_result_set:
            status = await self._hand_on(answer, lease)
            if status is None:
                raise BackendLostError("the result ended with an error")
            return None
        await self._acknowledge(term, lease)
        return Done(
            answer.ok.affected_rows, answer.ok.last_insert_id, answer.ok.warnings
        )

    async def _acknowledge(self, term: GroupTerm, lease: Lease) -> None:
        """Learn the position of a committed write and check the permit again."""
        async with asyncio.timeout(POSITION_LIMIT_S):
            server_term, position = await operations.read_position(lease.connection)
        if server_term != term.term or not self.gateway.is_still_writable(term):
            self.gateway.metrics.count("acknowledgement_withheld", term.group_id)
            raise UnknownOutcomeError(
                f"the write permit of term {term.term} lapsed before the answer"
            )
        self.session.note_seen(term.group_id, Position(term.term, position))
        self.session.floor_known.add(term.group_id)

    # Requests that run at most once.

    async def _run_once(
        self,
        customer: Customer,
        term: GroupTerm,
        lease: Lease,
        command: Command,
        hints: Hints,
    ) -> Done:
        connection = lease.connection
        await connection.run("BEGIN")
        recorded = await self._claim(customer, lease, hints.request_id)
        if recorded is not None:
            await connection.run("ROLLBACK")
            await self._acknowledge(term, lease)
            self.gateway.metrics.count("request_repeated", customer.customer_id)
            return Done(recorded.affected_rows, recorded.last_insert_id)
        answer = await self._ask(lease, command, WRITE_ANSWER_LIMIT_S)
        if answer.is_error:
            await connection.run("ROLLBACK")
            raise BackendStatementError(answer.first)
        if answer.is_result_set:
            raise BackendLostError("a result set cannot be recorded")
        outcome = requests.RecordedOutcome(
            answer.ok.affected_rows, answer.ok.last_insert_id
        )
        await connection.run(
            requests.record_sql(customer.customer_id, hints.request_id, outcome)
        )
        await self._commit(term, lease)
        return Done(outcome.affected_rows, outcome.last_insert_id, answer.ok.warnings)

    async def _commit(self, term: GroupTerm, lease: Lease) -> None:
        if not self.gateway.is_still_writable(term):
            raise TransactionLostError(f"the write permit of term {term.term} lapsed")
        try:
            async with asyncio.timeout(WRITE_ANSWER_LIMIT_S):
                await lease.connection.run("COMMIT")
        except BackendStatementError as error:
            raise TransactionLostError(str(error)) from error
        await self._acknowledge(term, lease)

    async def _claim(
        self, customer: Customer, lease: Lease, request_id: str
    ) -> requests.RecordedOutcome | None:
        """Insert a request id; return the recorded outcome if it ran before."""
        if not requests.is_valid_request_id(request_id):
            raise InvalidHintError("request_id takes letters, digits and . _ : -")
        connection = lease.connection
        sql = requests.insert_sql(customer.customer_id, request_id, unix_time_s())
        try:
            async with asyncio.timeout(WRITE_ANSWER_LIMIT_S):
                await connection.run(sql)
            return None
        except BackendStatementError as error:
            if error.code == JOURNAL_MISSING_CODE:
                await self._create_journal(lease)
                return await self._claim(customer, lease, request_id)
            if error.code not in requests.DUPLICATE_KEY_CODES:
                raise
        rows = await connection.run(
            requests.select_sql(customer.customer_id, request_id)
        )
        if not rows:
            raise UnknownOutcomeError("the request's record is being removed")
        return requests.RecordedOutcome(int(rows[0][0]), int(rows[0][1]))

    async def _create_journal(self, lease: Lease) -> None:
        await lease.connection.run("ROLLBACK")
        await lease.connection.run(requests.CREATE_TABLE)
        await lease.connection.run("BEGIN")

    # Transactions.

    async def begin(
        self, customer: Customer, group: DatabaseGroup, hints: Hints, read_only: bool
    ) -> Done:
        """Begin a transaction.

        Args:
            customer: Who asks.
            group: The group.
            hints: The caller's hints; a request id makes it run at most once.
            read_only: It may run on a replica.

        Returns:
            The result.
        """
        if self.session.transaction is not None:
            await self.commit()
        if read_only:
            return await self._begin_read_only(customer, group, hints)
        term = self.gateway.require_writable(group.group_id)
        self._require_known_history(term)
        lease = await self._borrow_primary(customer, term)
        try:
            async with asyncio.timeout(WRITE_ANSWER_LIMIT_S):
                await lease.connection.run("BEGIN")
                if hints.request_id:
                    await self._claim_for_transaction(customer, lease, hints)
        except BackendStatementError as error:
            lease.give_back(False)
            if error.code in READ_ONLY_CODES:
                raise WritesUnavailableError(
                    f"{term.primary} is read-only", 200
                ) from error
            raise
        except (BackendLostError, TimeoutError) as error:
            lease.give_back(False)
            raise WritesUnavailableError(f"{term.primary}: {error}", 200) from error
        except BaseException:
            lease.give_back(False)
            raise
        self.session.transaction = Transaction(lease, term, True, hints.request_id)
        return Done()

    async def _claim_for_transaction(
        self, customer: Customer, lease: Lease, hints: Hints
    ) -> None:
        recorded = await self._claim(customer, lease, hints.request_id)
        if recorded is None:
            return
        self.gateway.metrics.count("request_repeated", customer.customer_id)
        raise RequestAlreadyDoneError(
            f"request {hints.request_id} was committed before"
        )

    async def _begin_read_only(
        self, customer: Customer, group: DatabaseGroup, hints: Hints
    ) -> Done:
        request = await self.make_read_request(group, hints)
        server_id = await self.gateway.choose_server(request)
        term = self.gateway.board.group_term(group.group_id)
        lease = await self.gateway.borrow(
            server_id, customer, term.term, self.gateway.queue_deadline_s()
        )
        is_primary = server_id == term.primary
        self.gateway.metrics.count("read_primary" if is_primary else "read_replica")
        try:
            await lease.connection.run("START TRANSACTION READ ONLY")
        except (BackendError, BackendStatementError) as error:
            lease.give_back(False)
            raise NoReplicaError(f"{server_id}: {error}", 200) from error
        except BaseException:
            lease.give_back(False)
            raise
        self.session.transaction = Transaction(lease, term, False)
        return Done()

    async def run_in_transaction(self, action: Action, command: Command) -> Done | None:
        """Run a statement in the open transaction.

        Args:
            action: Kind of statement.
            command: What to send.

        Returns:
            The result, or None if a result set was handed on.
        """
        transaction = self.session.transaction
        if action is Action.WRITE:
            if not transaction.writable:
                raise UnsupportedStatementError("the transaction is read only")
            if not self.gateway.is_still_writable(transaction.term):
                self.session.end_transaction(reusable=False)
                raise TransactionLostError("the write permit lapsed")
            transaction.has_written = True
        try:
            answer = await self._ask(transaction.lease, command, WRITE_ANSWER_LIMIT_S)
            if answer.is_error:
                raise BackendStatementError(answer.first)
            if answer.is_result_set:
                if await self._hand_on(answer, transaction.lease) is None:
                    self.session.end_transaction(reusable=False)
                return None
        except BackendStatementError as error:
            if error.code in (1205, 1213):
                self.session.end_transaction(reusable=False)
            raise
        except (BackendLostError, TimeoutError) as error:
            self.session.end_transaction(reusable=False)
            raise TransactionLostError(f"connection lost: {error}") from error
        except BaseException:
            self.session.end_transaction(reusable=False)
            raise
        ok = answer.ok
        transaction.affected_rows += ok.affected_rows
        transaction.last_insert_id = ok.last_insert_id or transaction.last_insert_id
        return Done(ok.affected_rows, ok.last_insert_id, ok.warnings)

    async def commit(self) -> Done:
        """Commit the open transaction.

        Returns:
            The result.
        """
        transaction = self.session.transaction
        if transaction is None:
            return Done()
        lease = transaction.lease
        reusable = False
        try:
            if not transaction.writable:
                await lease.connection.run("COMMIT")
            else:
                await self._record_transaction(transaction)
                await self._commit(transaction.term, lease)
            reusable = True
            return Done()
        except (BackendLostError, TimeoutError) as error:
            if not transaction.has_written and not transaction.request_id:
                raise TransactionLostError(f"connection lost: {error}") from error
            raise UnknownOutcomeError(f"no answer to COMMIT: {error}") from error
        finally:
            self.session.end_transaction(reusable)

    async def _record_transaction(self, transaction: Transaction) -> None:
        if not transaction.request_id:
            return
        customer_id = self.session.customer_id
        outcome = requests.RecordedOutcome(
            transaction.affected_rows, transaction.last_insert_id
        )
        try:
            await transaction.lease.connection.run(
                requests.record_sql(customer_id, transaction.request_id, outcome)
            )
        except (BackendLostError, BackendStatementError) as error:
            raise TransactionLostError(str(error)) from error

    async def rollback(self) -> Done:
        """Roll the open transaction back.

        Returns:
            The result.
        """
        transaction = self.session.transaction
        if transaction is None:
            return Done()
        reusable = False
        try:
            await transaction.lease.connection.run("ROLLBACK")
            reusable = True
        except (BackendError, BackendStatementError):
            # A closed connection rolls back just as well.
            self.gateway.metrics.count("rollback_by_close")
        finally:
            self.session.end_transaction(reusable)
        return Done()

    # Session tokens.

    def adopt_token(self, text: str) -> None:
        """Raise the session's floor to what a token says.

        Args:
            text: A token, or ``none`` for a session without history.
        """
        session = self.session
        if text == NO_HISTORY_TOKEN:
            session.floor_known.update(self.gateway.board.inventory.groups_by_id)
            return
        token = parse_token(text)
        session.note_seen(token.group_id, token.seen)
        session.floor_known.add(token.group_id)
