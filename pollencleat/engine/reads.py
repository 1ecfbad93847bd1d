"""Reads outside a transaction: on one server after the other, or on two at a time."""

import asyncio
from dataclasses import dataclass

from pollencleat.backend.pool import Lease
from pollencleat.core.data import Position, Route
from pollencleat.core.errors import (
    BackendError,
    BackendUnreachableError,
    NoReplicaError,
    OverloadedError,
    StatementTimeoutError,
)
from pollencleat.engine.access import RETRY_AFTER_MS, GatewayRead
from pollencleat.engine.exchange import NotSentError
from pollencleat.engine.hedging import run_hedged
from pollencleat.engine.statements import Answer, ServerReply, Work
from pollencleat.engine.steps import (
    MAX_ATTEMPTS,
    RetryableError,
    StatementSteps,
    describe_error,
)
from pollencleat.limits.hedging import compute_hedge_delay_s
from pollencleat.routing.placement import Target


@dataclass(frozen=True, slots=True)
class Read:
    """A read outside a transaction.

    Attributes:
        deadline_s: Local time in seconds at which its time limit ends.
        tried_servers: Ids of servers that the read was sent to.
    """

    route: Route
    work: Work
    deadline_s: float
    tried_servers: set[str]


class ReadRunner:
    """Runs the reads of one session."""

    def __init__(self, steps: StatementSteps) -> None:
        """Use the steps of a session."""
        self._steps = steps
        self._access = steps.access
        self._session = steps.session

    async def run(self, route: Route, work: Work) -> Answer:
        """Run a read outside a transaction, retrying and hedging on other servers."""
        self._access.hedge_budget.record_attempt()
        deadline_s = self._access.clock() + route.statement_limit_ms / 1000
        read = Read(route, work, deadline_s, set())
        while True:
            target = self._steps.choose_target(route, True, read.tried_servers)
            read.tried_servers.add(target.server_id)
            try:
                return await self._read_with_hedging(read, target)
            except RetryableError as error:
                if error.may_retry_there:
                    read.tried_servers.discard(target.server_id)
                self._steps.require_attempts_left(error.cause)

    async def _read_with_hedging(self, read: Read, target: Target) -> Answer:
        """Read from a server; if it is slow, send the read to another one as well."""

        def start_hedge() -> asyncio.Task[Answer] | None:
            other = self._find_hedge_target(read)
            if other is None:
                return None
            self._access.metrics.count("read_asked_again", target.server_id)
            reading = self._read_from_hedge_target(read, other, target)
            return asyncio.get_running_loop().create_task(reading)

        hedge_delay_s = compute_hedge_delay_s(
            read.route.latency_objective_ms / 1000,
            read.deadline_s - self._access.clock(),
        )
        reading = self._read_from(read, target)
        return await run_hedged(reading, hedge_delay_s, start_hedge)

    def _find_hedge_target(self, read: Read) -> Target | None:
        """Return a further server for a slow read, or None.

        None if no server qualifies, the attempts are used up, or the hedge budget is
        spent.
        """
        if self._steps.trace.tries >= MAX_ATTEMPTS:
            return None
        other = self._steps.find_read_target(read.route, read.tried_servers)
        if other is None or other.server_id not in self._access.pools.pools_by_server:
            return None
        if not self._access.hedge_budget.take():
            return None
        read.tried_servers.add(other.server_id)
        self._steps.trace.tries += 1
        return other

    async def _read_from_hedge_target(
        self, read: Read, target: Target, slow_target: Target
    ) -> Answer:
        answer = await self._read_with_hedging(read, target)
        if self._access.uses_gateways(slow_target.server_id):
            self._access.note_gateway_read(slow_target.server_id, False)
        return answer

    async def _read_from(self, read: Read, target: Target) -> Answer:
        if self._access.uses_gateways(target.server_id):
            answer = await self._read_through_gateway(read, target)
        else:
            lease = await self._steps.borrow(target, read.route, True)
            answer = await self._read_on_connection(lease, read, target)
        self._steps.trace_target(target)
        return answer

    async def _read_on_connection(
        self, lease: Lease, read: Read, target: Target
    ) -> Answer:
        route = read.route
        lease.is_read = True
        reusable = False
        known_position = self._access.newest_position(target.term)
        limit_s = read.deadline_s - self._access.clock()
        try:
            reply = await self._steps.restore_and_run(
                lease, read.work, target.at_least, limit_s, route
            )
            reusable = not reply.in_transaction
        except TimeoutError as error:
            raise StatementTimeoutError(
                f"{target.server_id} did not answer in time"
            ) from error
        except BackendError as error:
            raise RetryableError(
                NoReplicaError(
                    f"{target.server_id}: {describe_error(error)}", RETRY_AFTER_MS
                ),
                may_retry_there=isinstance(error, NotSentError),
            ) from error
        finally:
            lease.release(reusable)
        return self._answer_to_read(target, reply, known_position, route)

    async def _read_through_gateway(self, read: Read, target: Target) -> Answer:
        route, work, deadline_s = read.route, read.work, read.deadline_s
        known_position = self._access.newest_position(target.term)
        shape = None
        if work.prepared_name:
            shape = self._session.shapes_by_name[work.prepared_name]
        try:
            connection_request = self._access.make_connection_request(
                target, route, self._session, True
            )
        except BackendUnreachableError as error:
            raise RetryableError(error) from error
        call = GatewayRead(work, shape, target.at_least)
        sent_at_s = self._access.clock()
        try:
            result = await self._access.gateways.read(
                connection_request, call, deadline_s - sent_at_s
            )
        except (OverloadedError, BackendUnreachableError) as error:
            if self._access.clock() >= deadline_s:
                self._access.note_gateway_read(target.server_id, False)
                raise StatementTimeoutError(error.detail) from error
            raise RetryableError(error) from error
        except BackendError as error:
            self._access.note_gateway_read(target.server_id, False)
            raise RetryableError(
                NoReplicaError(
                    f"{target.server_id}: {describe_error(error)}", RETRY_AFTER_MS
                )
            ) from error
        reply = result.reply
        self._steps.trace.gateway_id = result.gateway_id
        self._access.note_gateway_read(target.server_id, True)
        if target.term is not None:
            # The gateway confirmed the primary before it sent the read.
            self._access.note_primary_confirmed(target.term, sent_at_s)
        self._access.note_position(target.server_id, reply, sent_at_s, route.group_id)
        return self._answer_to_read(target, reply, known_position, route)

    def _answer_to_read(
        self,
        target: Target,
        reply: ServerReply,
        known_position: Position | None,
        route: Route,
    ) -> Answer:
        if reply.failure is not None:
            raise RetryableError(self._steps.caller_error(target, reply))
        self._steps.require_current_log(target, reply, known_position, route)
        return Answer(reply.rows, reply.receipt, reply.position)
