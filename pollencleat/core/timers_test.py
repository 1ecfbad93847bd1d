import asyncio

import pytest

from pollencleat.core.faults import MAX_CONSECUTIVE_FAILURES, ErrorRecorder
from pollencleat.core.timers import TimerService


class Clock:
    """A clock that tests advance."""

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


def test_failing_callback_leaves_the_others_running():
    """One unexpected error must not end the whole process."""
    counted = []
    service, clock, calls = make_service(ErrorRecorder(counted.append))
    run(service, clock, 5)
    assert len(calls) == 5
    assert len(counted) == 5


def test_error_is_raised_after_consecutive_failures():
    service, clock, _ = make_service(ErrorRecorder())
    with pytest.raises(KeyError):
        run(service, clock, MAX_CONSECUTIVE_FAILURES + 1)


async def test_error_after_a_run_does_not_end_the_timers():
    """One message that could not be encoded ended the whole process."""
    counted = []
    service, _, calls = make_service(ErrorRecorder(counted.append))
    runs = []

    def fail_at_first():
        runs.append(len(runs))
        if len(runs) < 3:
            raise OverflowError("can't serialize")
        if len(runs) == 5:
            raise asyncio.CancelledError

    with pytest.raises(asyncio.CancelledError):
        await service.run_forever(fail_at_first)
    assert len(runs) == 5 and calls


async def test_error_after_each_run_is_raised_in_the_end():
    service, _, _ = make_service(ErrorRecorder())

    def fail():
        raise OverflowError("can't serialize")

    with pytest.raises((OverflowError, KeyError)):
        await service.run_forever(fail)


def test_error_is_raised_without_fault_log():
    service, clock, _ = make_service(None)
    with pytest.raises(KeyError):
        run(service, clock, 1)
