"""Admission queue of one backend server, fair among client accounts.

A ticket is refused on arrival if its expected wait ends after its deadline, when later
arrivals that go before it push it beyond its deadline, or when the deadline passes in
the queue.  In all cases its statement has not run.

Load pattern: more work than a server can do, because the other servers of its group lag
or are gone.  Some callers are refused whatever the order is.  Among tickets of the same
priority those of short work are therefore granted first: the same slots then serve more
callers.  How long work takes is observed for each kind.  Every few grants the tickets
take their turns by account instead, so that neither an account nor long work starves.
"""

import enum
import math
from collections import OrderedDict, deque
from dataclasses import dataclass, field

SERVICE_TIME_WEIGHT = 0.05
"""Weight of a new sample in the moving average of the service time."""

INITIAL_SERVICE_TIME_S = 0.002
"""Assumed mean service time in seconds before the first sample."""

FAIR_GRANT_INTERVAL = 4
"""Every so many grants from the queue the next account in turn is served, whatever the
length of its work."""

MAX_KINDS = 256
"""Kinds of work whose service times are kept; the oldest is dropped."""


class Refusal(enum.StrEnum):
    """Reason why a ticket was refused on arrival."""

    CUSTOMER_LIMIT = "the customer's queue limit is reached"
    DEADLINE = "the wait would exceed the deadline"


@dataclass(frozen=True, slots=True)
class WorkKind:
    """What a statement is queued as.

    Attributes:
        name: Work of one name takes about the same time.
        priority: Scheduling priority; 0 is the most urgent.
    """

    name: str = ""
    priority: int = 0


ANY_WORK = WorkKind()


@dataclass(eq=False, slots=True)
class Ticket:
    """A request for a connection to execute a statement.

    Attributes:
        customer_id: Client account of the statement.
        deadline_s: Local time after which a connection is no longer useful.
        kind: What the statement is queued as.
        rank: Priority and class of the expected duration when the ticket was queued;
            lower ranks are granted first.
        granted_at_s: Local time at which a connection was granted, or None.
        is_running: Whether a statement runs on the connection; False while a
            transaction pauses.
        granted_future: Future that the caller attaches to wait for the grant; not used
            by the queue.
    """

    customer_id: str
    deadline_s: float
    kind: WorkKind = ANY_WORK
    rank: tuple[int, int] = (0, 0)
    granted_at_s: float | None = None
    is_running: bool = False
    granted_future: object = None


@dataclass(slots=True)
class ServiceTimes:
    """Moving averages of the time from grant to release, in seconds.

    Attributes:
        mean_s: Average of all work.
        mean_s_by_kind: Average of each kind of work.
    """

    mean_s: float = INITIAL_SERVICE_TIME_S
    mean_s_by_kind: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def record(self, kind: WorkKind, duration_s: float) -> None:
        """Add a sample of a kind of work, in seconds."""
        self.mean_s += SERVICE_TIME_WEIGHT * (duration_s - self.mean_s)
        known_s = self.mean_s_by_kind.get(kind.name, duration_s)
        known_s += SERVICE_TIME_WEIGHT * (duration_s - known_s)
        self.mean_s_by_kind[kind.name] = known_s
        if len(self.mean_s_by_kind) > MAX_KINDS:
            self.mean_s_by_kind.popitem(last=False)

    def rank(self, kind: WorkKind) -> tuple[int, int]:
        """Return the rank of a kind of work.

        Durations are compared by powers of two, so that noise does not decide.
        """
        known_s = self.mean_s_by_kind.get(kind.name, self.mean_s)
        return kind.priority, round(math.log2(max(known_s, 1e-6)))


class ServerQueue:
    """Decides which ticket is granted next, without any I/O.

    Attributes:
        capacity: Number of statements that may run at the same time.
        in_use: Number of granted tickets that have not been released.
        running: Number of these on whose connections statements run.
        running_limit: Largest number of running ones at which another ticket is
            granted; None for no limit but the capacity.
        service_times: Observed durations.
        waiting_by_customer: Waiting tickets by client account, the next account first.
        waiting: Number of waiting tickets.
    """

    def __init__(self, capacity: int) -> None:
        """Start empty, with a capacity in concurrent statements."""
        self.capacity = capacity
        self.in_use = 0
        self.running = 0
        self.running_limit: int | None = None
        self.service_times = ServiceTimes()
        self.waiting_by_customer: OrderedDict[str, deque[Ticket]] = OrderedDict()
        self.waiting = 0
        self._grants = 0

    def load(self) -> float:
        """Return the running and waiting statements relative to the capacity.

        Returns:
            1.0 if all connections are in use and no ticket waits.
        """
        return (self.in_use + self.waiting) / max(1, self.capacity)

    def outstanding(self) -> int:
        """Return the number of running and waiting statements."""
        return self.in_use + self.waiting

    def expected_wait_s(self, customer_id: str, kind: WorkKind = ANY_WORK) -> float:
        """Return the expected wait of a new ticket.

        Args:
            customer_id: The client account.
            kind: What it would be queued as.

        Returns:
            Seconds, estimated from the number of tickets that are granted before it.
        """
        if self._has_room() and not self.waiting:
            return 0.0
        own = len(self.waiting_by_customer.get(customer_id, ()))
        return self._wait_behind_s(
            self._count_ahead(customer_id, self.service_times.rank(kind), own)
        )

    def _wait_behind_s(self, ahead: int) -> float:
        places = self.capacity
        if self.running_limit is not None:
            places = min(places, self.running_limit)
        return (ahead + 1) * self.service_times.mean_s / max(1, places)

    def _count_ahead(self, customer_id: str, rank: tuple[int, int], own: int) -> int:
        """Return how many tickets are granted before one of a rank.

        Args:
            customer_id: Account of the ticket.
            rank: Its rank.
            own: Number of its account's tickets that were queued before it.
        """
        ahead = 0
        behind = 0
        for other_id, tickets in self.waiting_by_customer.items():
            turns = own if other_id == customer_id else own + 1
            for ticket in tickets:
                if ticket.rank < rank:
                    ahead += 1
                elif ticket.rank == rank and turns > 0:
                    ahead += 1
                    turns -= 1
                else:
                    behind += 1
        return ahead + min(behind, ahead // (FAIR_GRANT_INTERVAL - 1))

    def offer(self, ticket: Ticket, queue_limit: int, now_s: float) -> Refusal | None:
        """Grant, queue or refuse a new ticket.

        Args:
            ticket: The new ticket; ``granted_at_s`` is set if it is granted at once.
            queue_limit: Largest number of waiting tickets of one client account.
            now_s: Local time.

        Returns:
            The reason for a refusal, or None.
        """
        if self._has_room() and not self.waiting:
            self._grant(ticket, now_s)
            return None
        if self.capacity <= 0:
            return Refusal.DEADLINE
        tickets = self.waiting_by_customer.get(ticket.customer_id)
        if tickets is not None and len(tickets) >= queue_limit:
            return Refusal.CUSTOMER_LIMIT
        expected_s = self.expected_wait_s(ticket.customer_id, ticket.kind)
        if now_s + expected_s > ticket.deadline_s:
            return Refusal.DEADLINE
        ticket.rank = self.service_times.rank(ticket.kind)
        if tickets is None:
            tickets = deque()
            self.waiting_by_customer[ticket.customer_id] = tickets
        tickets.append(ticket)
        self.waiting += 1
        return None

    def pop_overtaken(self, newcomer: Ticket, now_s: float) -> list[Ticket]:
        """Remove the tickets that a new one has pushed beyond their deadline.

        Args:
            newcomer: The ticket that was queued last.
            now_s: Local time.

        Returns:
            The removed tickets, all of a higher rank than the new one.
        """
        overtaken = [
            ticket
            for tickets in self.waiting_by_customer.values()
            for ticket in tickets
            if ticket.rank > newcomer.rank
        ]
        certainly_ahead = self.waiting - len(overtaken)
        hopeless = [
            ticket
            for ticket in overtaken
            if now_s + self._wait_behind_s(certainly_ahead) > ticket.deadline_s
        ]
        for ticket in hopeless:
            self.withdraw(ticket)
        return hopeless

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Release the connection of a granted ticket.

        Args:
            ticket: A granted ticket.
            now_s: Local time.

        Returns:
            Waiting tickets that are granted in turn.
        """
        self.in_use -= 1
        self._note_running(ticket, False)
        self.service_times.record(ticket.kind, now_s - ticket.granted_at_s)
        return self.grant_waiting(now_s)

    def set_running(
        self, ticket: Ticket, is_running: bool, now_s: float
    ) -> list[Ticket]:
        """Note that a transaction pauses or goes on.

        Args:
            ticket: A granted ticket; one that goes on does not wait.
            is_running: Whether a statement runs on its connection.
            now_s: Local time.

        Returns:
            Waiting tickets that are granted in turn.
        """
        self._note_running(ticket, is_running)
        return self.grant_waiting(now_s)

    def _note_running(self, ticket: Ticket, is_running: bool) -> None:
        self.running += is_running - ticket.is_running
        ticket.is_running = is_running

    def _has_room(self) -> bool:
        if self.in_use >= self.capacity:
            return False
        return self.running_limit is None or self.running < self.running_limit

    def grant_waiting(self, now_s: float) -> list[Ticket]:
        """Grant as many waiting tickets as the capacity allows.

        Args:
            now_s: Local time.

        Returns:
            The granted tickets.
        """
        granted = []
        while self._has_room() and self.waiting:
            ticket = self._pop_next()
            if ticket.deadline_s <= now_s:
                continue
            self._grant(ticket, now_s)
            granted.append(ticket)
        return granted

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a waiting ticket whose caller left or whose deadline has passed.

        Args:
            ticket: A ticket that was queued.

        Returns:
            False if the ticket was no longer waiting.
        """
        tickets = self.waiting_by_customer.get(ticket.customer_id)
        if tickets is None or ticket not in tickets:
            return False
        tickets.remove(ticket)
        self.waiting -= 1
        if not tickets:
            del self.waiting_by_customer[ticket.customer_id]
        return True

    def withdraw_all(self) -> list[Ticket]:
        """Remove and return all waiting tickets."""
        waiting = [
            ticket
            for tickets in self.waiting_by_customer.values()
            for ticket in tickets
        ]
        self.waiting_by_customer.clear()
        self.waiting = 0
        return waiting

    def _grant(self, ticket: Ticket, now_s: float) -> None:
        ticket.granted_at_s = now_s
        self.in_use += 1
        self._note_running(ticket, True)

    def _pop_next(self) -> Ticket:
        """Remove the ticket of the lowest rank, or the next in turn now and then."""
        self._grants += 1
        is_in_turn = self._grants % FAIR_GRANT_INTERVAL == 0
        chosen = None
        for tickets in self.waiting_by_customer.values():
            best = tickets[0] if is_in_turn else min(tickets, key=_rank_of)
            if chosen is None or best.rank < chosen.rank:
                chosen = best
            if is_in_turn:
                break
        customer_id = chosen.customer_id
        self.withdraw(chosen)
        if customer_id in self.waiting_by_customer:
            self.waiting_by_customer.move_to_end(customer_id)
        return chosen


def _rank_of(ticket: Ticket) -> tuple[int, int]:
    return ticket.rank
