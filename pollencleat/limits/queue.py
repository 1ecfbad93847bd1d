"""The queue in front of one backend server.

Customers take turns, so that a flood from one leaves the others served.  A ticket that
cannot be served by its deadline is refused on arrival, and one whose deadline passes in
the queue is refused at that moment; neither has run.
"""

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass

SERVICE_TIME_WEIGHT = 0.05
"""Share of a new measurement in the mean service time."""

FIRST_SERVICE_TIME_S = 0.002
"""Mean service time before the first measurement."""


class Refusal(enum.StrEnum):
    """Why a ticket was not queued."""

    CUSTOMER_LIMIT = "the customer's queue limit is reached"
    DEADLINE = "the wait would exceed the deadline"


@dataclass(eq=False, slots=True)
class Ticket:
    """A statement's place in the queue.

    Attributes:
        deadline_s: Local time after which the statement is no longer wanted.
        granted_at_s: When it was given a connection, or None.
    """

    customer_id: str
    deadline_s: float
    granted_at_s: float | None = None
    settle: object = None


class ServerQueue:
    """Decides who may use a server next; holds no sockets and no futures."""

    def __init__(self, capacity: int) -> None:
        """Allow a number of statements at the same time."""
        self.capacity = capacity
        self.in_use = 0
        self.mean_service_s = FIRST_SERVICE_TIME_S
        self.waiting_by_customer: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self.waiting = 0

    def load(self) -> float:
        """Return statements in use and waiting, divided by the capacity.

        Returns:
            1.0 when every connection is in use and nothing waits.
        """
        return (self.in_use + self.waiting) / max(1, self.capacity)

    def outstanding(self) -> int:
        """Return the statements in use and waiting."""
        return self.in_use + self.waiting

    def expected_wait_s(self, customer_id: str) -> float:
        """Return how long a new ticket of a customer would wait.

        Args:
            customer_id: The customer.

        Returns:
            Seconds, from the tickets that are served before it.
        """
        if self.in_use < self.capacity and not self.waiting:
            return 0.0
        own = len(self.waiting_by_customer.get(customer_id, ()))
        ahead = own
        for other_id, tickets in self.waiting_by_customer.items():
            if other_id != customer_id:
                ahead += min(len(tickets), own + 1)
        return (ahead + 1) * self.mean_service_s / max(1, self.capacity)

    def offer(self, ticket: Ticket, queue_limit: int, now_s: float) -> Refusal | None:
        """Grant a ticket, queue it or refuse it.

        Args:
            ticket: The newcomer; granted_at_s is set if it may go on at once.
            queue_limit: Tickets that the customer may have waiting.
            now_s: Local time.

        Returns:
            The reason for a refusal, or None.
        """
        if self.in_use < self.capacity and not self.waiting:
            self._grant(ticket, now_s)
            return None
        if self.capacity <= 0:
            return Refusal.DEADLINE
        tickets = self.waiting_by_customer.get(ticket.customer_id)
        if tickets is not None and len(tickets) >= queue_limit:
            return Refusal.CUSTOMER_LIMIT
        if now_s + self.expected_wait_s(ticket.customer_id) > ticket.deadline_s:
            return Refusal.DEADLINE
        if tickets is None:
            tickets = deque()
            self.waiting_by_customer[ticket.customer_id] = tickets
        tickets.append(ticket)
        self.waiting += 1
        return None

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Give a connection back.

        Args:
            ticket: A granted ticket.
            now_s: Local time.

        Returns:
            Tickets that are granted now.
        """
        self.in_use -= 1
        service_s = now_s - ticket.granted_at_s
        self.mean_service_s += SERVICE_TIME_WEIGHT * (service_s - self.mean_service_s)
        return self.grant_waiting(now_s)

    def grant_waiting(self, now_s: float) -> list[Ticket]:
        """Grant as many waiting tickets as the capacity allows.

        Args:
            now_s: Local time.

        Returns:
            Granted tickets, customers taking turns.
        """
        granted = []
        while self.in_use < self.capacity and self.waiting:
            ticket = self._next_in_turn()
            if ticket.deadline_s <= now_s:
                continue
            self._grant(ticket, now_s)
            granted.append(ticket)
        return granted

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting ticket out, because its caller left or its time is over.

        Args:
            ticket: A ticket that was queued.

        Returns:
            False if it no longer waits.
        """
        tickets = self.waiting_by_customer.get(ticket.customer_id)
        if tickets is None or ticket not in tickets:
            return False
        tickets.remove(ticket)
        self.waiting -= 1
        if not tickets:
            del self.waiting_by_customer[ticket.customer_id]
        return True

    def _grant(self, ticket: Ticket, now_s: float) -> None:
        ticket.granted_at_s = now_s
        self.in_use += 1

    def _next_in_turn(self) -> Ticket:
        customer_id, tickets = next(iter(self.waiting_by_customer.items()))
        ticket = tickets.popleft()
        self.waiting -= 1
        if tickets:
            self.waiting_by_customer.move_to_end(customer_id)
        else:
            del self.waiting_by_customer[customer_id]
        return ticket
