import heapq
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from pollencleat.limits.queue import (
    FAIR_GRANT_INTERVAL,
    ServerQueue,
    Ticket,
    WorkKind,
)
from pollencleat.limits.retries import BURST, RetryBudget

CAPACITY = 3
LIMIT = 5
WAIT_S = 10.0


class QueueMachine(RuleBasedStateMachine):
    """Generates offers, releases and withdrawals in any order."""

    def __init__(self):
        super().__init__()
        self.queue = ServerQueue(CAPACITY)
        self.now_s = 0.0
        self.running = []
        self.waiting = []

    @rule(
        customer=st.sampled_from("abc"),
        name=st.sampled_from(["short", "long"]),
        priority=st.integers(0, 1),
    )
    def offer(self, customer, name, priority):
        ticket = Ticket(customer, self.now_s + WAIT_S, WorkKind(name, priority))
        if self.queue.offer(ticket, LIMIT, self.now_s) is not None:
            return
        if ticket.granted_at_s is not None:
            self.running.append(ticket)
            return
        self.waiting.append(ticket)
        for overtaken in self.queue.pop_overtaken(ticket, self.now_s):
            assert overtaken is not ticket
            self.waiting.remove(overtaken)

    @rule(data=st.data())
    def release(self, data):
        if not self.running:
            return
        ticket = data.draw(st.sampled_from(self.running))
        self.running.remove(ticket)
        for granted in self.queue.release(ticket, self.now_s):
            assert granted.deadline_s > self.now_s
            self.waiting.remove(granted)
            self.running.append(granted)

    @rule(data=st.data())
    def withdraw(self, data):
        if not self.waiting:
            return
        ticket = data.draw(st.sampled_from(self.waiting))
        is_withdrawn = self.queue.withdraw(ticket)
        # The queue may have dropped a ticket whose deadline had passed.
        assert is_withdrawn or ticket.deadline_s <= self.now_s
        self.waiting.remove(ticket)

    @rule(data=st.data(), is_running=st.booleans())
    def pause_or_go_on(self, data, is_running):
        if not self.running:
            return
        ticket = data.draw(st.sampled_from(self.running))
        for granted in self.queue.set_running(ticket, is_running, self.now_s):
            self.waiting.remove(granted)
            self.running.append(granted)

    @rule(limit=st.none() | st.integers(1, CAPACITY))
    def limit_running(self, limit):
        self.queue.running_limit = limit

    @rule(seconds=st.floats(0, 4))
    def wait(self, seconds):
        self.now_s += seconds

    @invariant()
    def capacity_is_never_exceeded(self):
        assert self.queue.in_use == len(self.running) <= CAPACITY

    @invariant()
    def running_statements_are_counted(self):
        assert self.queue.running == sum(item.is_running for item in self.running)

    @invariant()
    def no_ticket_waits_while_a_connection_is_free(self):
        live = [item for item in self.waiting if item.deadline_s > self.now_s]
        assert not (live and self.queue.in_use < CAPACITY and self.queue.waiting == 0)

    @invariant()
    def customer_limit_holds(self):
        for tickets in self.queue.waiting_by_customer.values():
            assert 0 < len(tickets) <= LIMIT


QueueMachine.TestCase.settings = settings(max_examples=60, deadline=None)
TestQueue = QueueMachine.TestCase


def test_burst_of_one_account_does_not_delay_the_others():
    queue = ServerQueue(1)
    running = Ticket("busy", 100.0)
    queue.offer(running, 1000, 0.0)
    for _ in range(500):
        queue.offer(Ticket("busy", 100.0), 1000, 0.0)
    other_ticket = Ticket("other", 100.0)
    assert queue.offer(other_ticket, 1000, 0.0) is None
    turns = 0
    while other_ticket.granted_at_s is None:
        running = queue.release(running, 0.0)[0]
        turns += 1
    assert turns <= 2


def test_ticket_is_refused_on_arrival_if_the_wait_exceeds_its_deadline():
    queue = ServerQueue(1)
    queue.service_times.mean_s = 1.0
    queue.offer(Ticket("a", 100.0), 10, 0.0)
    assert queue.offer(Ticket("a", 0.5), 10, 0.0) is not None


def test_retries_are_limited_to_a_fraction_of_first_attempts():
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_attempt()
        retries += budget.take()
    assert retries <= 1000 * 0.1 + BURST


SHORT = WorkKind("short")
LONG = WorkKind("long")


def make_full_queue(short_s=0.01, long_s=0.04):
    queue = ServerQueue(1)
    for kind, duration_s in ((SHORT, short_s), (LONG, long_s)):
        ticket = Ticket("a", 1e9, kind)
        queue.offer(ticket, 1000, 0.0)
        queue.release(ticket, duration_s)
    queue.service_times.mean_s = (short_s + long_s) / 2
    running = Ticket("a", 1e9, SHORT)
    queue.offer(running, 1000, 0.0)
    return queue, running


def test_short_work_is_granted_first_but_long_work_does_not_starve():
    queue, running = make_full_queue()
    waiting = [Ticket("a", 1e9, kind) for kind in [LONG] * 4 + [SHORT] * 8]
    for ticket in waiting:
        assert queue.offer(ticket, 1000, 0.0) is None
    order = []
    while queue.waiting:
        (running,) = queue.release(running, 0.01)
        order.append(running.kind)
    assert order[:FAIR_GRANT_INTERVAL] == [SHORT] * (FAIR_GRANT_INTERVAL - 1) + [LONG]
    assert order.count(LONG) == 4 and order[-1] is LONG


def test_an_urgent_ticket_goes_before_short_work():
    queue, running = make_full_queue()
    urgent = Ticket("a", 1e9, WorkKind("long", priority=0))
    later = Ticket("a", 1e9, WorkKind("short", priority=1))
    for ticket in (later, urgent):
        queue.offer(ticket, 1000, 0.0)
    assert queue.release(running, 0.01) == [urgent]


def test_a_ticket_that_others_overtake_is_refused_at_once():
    queue, _ = make_full_queue()
    overtaken = Ticket("a", 0.1, LONG)
    assert queue.offer(overtaken, 1000, 0.0) is None
    refused = []
    for _ in range(6):
        newcomer = Ticket("b", 1e9, SHORT)
        queue.offer(newcomer, 1000, 0.0)
        refused += queue.pop_overtaken(newcomer, 0.0)
    assert refused == [overtaken]


def serve(classes, load, knows_kinds=True):
    """Return the share of statements that a server with 3 slots answers in time.

    Args:
        classes: Kind, duration and longest wait in seconds, and share of arrivals.
        load: Work offered, relative to what the slots can do.
        knows_kinds: Whether statements are queued by their kind.
    """
    generator = random.Random(1)
    shares = [share for *_, share in classes]
    mean_s = sum(duration_s * share for _, duration_s, _, share in classes)
    queue = ServerQueue(3)
    duration_by_ticket = {}
    ends = []
    now_s, offered, served = 0.0, 0, 0

    def start(ticket, at_s):
        end_s = at_s + duration_by_ticket[ticket]
        heapq.heappush(ends, (end_s, id(ticket), ticket))

    while now_s < 60.0:
        now_s += generator.expovariate(3 * load / mean_s)
        while ends and ends[0][0] <= now_s:
            end_s, _, ticket = heapq.heappop(ends)
            served += 1
            for granted in queue.release(ticket, end_s):
                start(granted, end_s)
        kind, duration_s, wait_s, _ = generator.choices(classes, shares)[0]
        ticket = Ticket(f"u{offered % 4}", now_s + wait_s)
        if knows_kinds:
            ticket.kind = kind
        duration_by_ticket[ticket] = duration_s
        offered += 1
        refusal = queue.offer(ticket, 512, now_s)
        if ticket.granted_at_s is not None:
            start(ticket, now_s)
        elif refusal is None:
            queue.pop_overtaken(ticket, now_s)
    return served / offered


@pytest.mark.parametrize("factor", [1.0, 0.3, 3.0])
def test_more_callers_are_served_when_a_group_has_only_its_primary(factor):
    """Load pattern (grown Volta, trouble-3): both replicas of a group lag for 15 s, and
    the primary's 3 slots get 1.3 times the work that they can do."""
    classes = [
        (WorkKind("booking", 1), 0.006 * factor, 0.075 * factor, 0.15),
        (WorkKind("lookup", 2), 0.030 * factor, 0.250 * factor, 0.15),
        (WorkKind("rental", 2), 0.018 * factor, 0.125 * factor, 0.70),
    ]
    assert serve(classes, 1.3) > serve(classes, 1.3, knows_kinds=False) + 0.03
    assert serve(classes, 0.7) > 0.99


def test_a_paused_transaction_leaves_its_turn_to_others():
    queue = ServerQueue(3)
    queue.running_limit = 1
    transaction, other = Ticket("a", 100.0), Ticket("a", 100.0)
    queue.offer(transaction, 10, 0.0)
    assert queue.offer(other, 10, 0.0) is None and other.granted_at_s is None
    assert queue.set_running(transaction, False, 1.0) == [other]
    assert queue.set_running(transaction, True, 1.1) == []
    assert queue.running == 2 and queue.in_use == 2
