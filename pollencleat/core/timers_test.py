import pytest

from pollencleat.core.faults import FAILURES_IN_A_ROW, FaultLog
from pollencleat.core.timers import TimerService


class Clock:
    """A clock that tests move."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_service(faults):
    clock = Clock()
    service = TimerService(clock, faults)
    calls = []

    def fail():
        raise KeyError("unknown group")

    service.subscribe(0.1, fail)
    service.subscribe(0.1, lambda: calls.append(clock.now_s))
    return service, clock, calls


def run(service, clock, times):
    for _ in range(times):
        service.run_due()
        clock.now_s += 0.1


def test_error_of_one_part_leaves_the_others_running():
    """One unexpected error must not take a whole process down."""
    counted = []
    service, clock, calls = make_service(FaultLog(counted.append))
    run(service, clock, 5)
    assert len(calls) == 5
    assert len(counted) == 5


def test_part_that_fails_every_time_ends_the_process():
    service, clock, _ = make_service(FaultLog())
    with pytest.raises(KeyError):
        run(service, clock, FAILURES_IN_A_ROW + 1)


def test_errors_are_raised_where_nothing_records_them():
    service, clock, _ = make_service(None)
    with pytest.raises(KeyError):
        run(service, clock, 1)
