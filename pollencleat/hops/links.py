"""Connections of gateways, as the node that borrows them uses them.

If the hop to the gateway fails, the outcome is the same as for a failed server: a call
without an answer has an unknown outcome if it may have run.  No call is sent twice.
"""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from pollencleat.core.data import Position
from pollencleat.core.errors import BackendLostError
from pollencleat.core.messages import LinkCall, LinkReply, PeerMessage
from pollencleat.engine.statements import Begin, Commit, ServerReply, Shape, Work
from pollencleat.hops.calls import decode_reply, encode_arguments


class LeaseHolder(Protocol):
    """What a borrowed connection needs of the borrower that holds its lease."""

    @property
    def node_id(self) -> str:
        """Id of this node."""

    def send(self, node_id: str, message: PeerMessage) -> bool:
        """Send a message to a gateway; False if it was dropped."""

    def release(self, lease: "BorrowedLease", reusable: bool) -> None:
        """End a lease."""


class BorrowedLink:
    """A connection leased from a gateway, with the interface of ServerLink."""

    def __init__(self, borrower: LeaseHolder, gateway_id: str, lease_id: int) -> None:
        """Create the link of a granted lease."""
        self._borrower = borrower
        self.gateway_id = gateway_id
        self.lease_id = lease_id
        self.values: dict[str, str] = {}
        self.names_by_shape: dict[Shape, str] = {}
        self.has_open_transaction = False
        self.is_closed = False
        self._call_number = 0
        self._pending: asyncio.Future | None = None

    @property
    def is_usable(self) -> bool:
        """Whether the lease is open and no reply is outstanding."""
        return not self.is_closed and self._pending is None

    @property
    def is_waiting(self) -> bool:
        """Whether a reply is outstanding."""
        return self._pending is not None

    def close(self) -> None:
        """Mark the connection as closed and fail a call in progress.

        If the lease is released after this, the gateway closes the connection.
        """
        self.fail("this node has ended the lease")

    def fail(self, reason: str) -> None:
        """Mark the connection as lost.

        Args:
            reason: Error detail for a call in progress.
        """
        self.is_closed = True
        if self._pending is not None and not self._pending.done():
            self._pending.set_exception(BackendLostError(reason))

    def on_reply(self, message: LinkReply) -> None:
        """Complete the call in progress; replies to abandoned calls are ignored."""
        if self._pending is None or message.number != self._call_number:
            return
        if not self._pending.done():
            self._pending.set_result(message)

    async def _call(self, call: str, *arguments: object) -> ServerReply:
        if not self.is_usable:
            raise BackendLostError("the leased connection is not usable")
        self._call_number += 1
        message = LinkCall(
            self._borrower.node_id,
            self.lease_id,
            self._call_number,
            call,
            encode_arguments(arguments),
        )
        if not self._borrower.send(self.gateway_id, message):
            self.is_closed = True
            raise BackendLostError(f"cannot send to gateway {self.gateway_id}")
        self._pending = asyncio.get_running_loop().create_future()
        try:
            answer: LinkReply = await self._pending
            if answer.error:
                raise BackendLostError(f"gateway {self.gateway_id}: {answer.error}")
            reply = decode_reply(answer.reply)
        except BaseException:
            # The reply may still arrive and must not be read by another call.
            self.is_closed = True
            raise
        finally:
            self._pending = None
        self.has_open_transaction = reply.in_transaction
        return reply

    async def begin(self, begin: Begin, at_least: Position | None) -> ServerReply:
        """Begin a transaction if the server has applied the log position."""
        return await self._call("begin", begin, at_least)

    async def run(
        self, work: Work, prepared_name: str, at_least: Position | None
    ) -> ServerReply:
        """Run a read or write if the server has applied the log position."""
        return await self._call("run", work, prepared_name, at_least)

    async def commit(self, commit: Commit) -> ServerReply:
        """Commit the open transaction."""
        return await self._call("commit", commit)

    async def roll_back(self) -> ServerReply:
        """Roll back the open transaction."""
        return await self._call("roll_back")

    async def set_value(self, name: str, value: str) -> ServerReply:
        """Set a session value."""
        return await self._call("set_value", name, value)

    async def prepare(self, name: str, shape: Shape) -> ServerReply:
        """Prepare a statement shape under a name of this connection."""
        return await self._call("prepare", name, shape)

    async def reset(self) -> ServerReply:
        """Clear session values and prepared statements."""
        return await self._call("reset")


@dataclass(eq=False, slots=True)
class BorrowedLease:
    """A connection borrowed for one statement or transaction.

    Attributes:
        requested_at_s: When the lease was requested, on the local clock.
        is_read: The statement is a read that may be retried on another server.
        is_borrowed: The gateway, not this node, probes the server.
    """

    borrower: LeaseHolder
    connection: BorrowedLink
    server_id: str
    opened_for_term: int
    requested_at_s: float
    is_read: bool = False
    is_borrowed: bool = True

    @property
    def gateway_id(self) -> str:
        """Id of the gateway that leases the connection to this node."""
        return self.connection.gateway_id

    def release(self, reusable: bool) -> None:
        """Return the connection to the gateway, which keeps or closes it.

        Args:
            reusable: The last reply was complete and no transaction is open.
        """
        self.borrower.release(self, reusable)

    def set_running(self, is_running: bool) -> None:
        """Do nothing: the gateway sees itself when a call runs."""
