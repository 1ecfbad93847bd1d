"""Tests of the model of a restored store: a search, and a violation per rule."""

import pytest

from bench.restore_model import RULES, follow_trace, search_randomly

TRACES_BY_RULE = {
    "an unsettled read gives no permit": (
        "1 sends a start; restore; 1's update takes effect; 1 reads; tick; "
        "tick; tick; tick; 1 settles; tick; restore; 1 reads; tick; tick; "
        "1 makes a server writable; 2 reads"
    ),
    "an unsettled state is not adopted": (
        "0 restarts; 2 sends a start; 2's update takes effect; 0 joins; "
        "0 reads; heartbeat from 0 to 2; 1 confirms to 2; 0 confirms to 2; "
        "2 makes a server writable; restore; 2 reads"
    ),
    "an update names the era that it was written for": (
        "0 sends a start; 0's update takes effect; 0 reads; tick; "
        "2 sends a start; 1 reads; restore; tick; tick; heartbeat from 1 to 0; "
        "2's update takes effect; 0 makes a server writable; 2 reads; tick; "
        "tick; tick; 2 reads; 2 makes a server writable"
    ),
    "wait for the knowledge of all members": (
        "2 sends a start; 2's update takes effect; 2 reads; tick; tick; "
        "2 reads; restore; 0 reads; tick; 2 makes a server writable; "
        "0 settles; 0 reads"
    ),
    "wait until orders of before have expired": (
        "0 sends a start; 0's update takes effect; 0 reads; tick; 0 reads; "
        "restore; tick; 1 reads; tick; 1 settles; 0 makes a server writable; "
        "0 reads"
    ),
    "servers show a lost term": (
        "2 sends a start; 0 restarts; 2's update takes effect; 2 reads; tick; "
        "1 reads; tick; heartbeat from 1 to 2; tick; 1 restarts; "
        "2 makes a server writable; 2 restarts; restore; 2 reads; tick; "
        "1 joins; 2 joins; 0 joins; tick; 2 reads; tick; tick; 2 settles; "
        "2 reads"
    ),
    "terms of a new era begin above all others": (
        "0 sends a start; 0's update takes effect; 1 reads; 1 sends a start; "
        "1's update takes effect; 1 reads; tick; tick; tick; 1 reads; "
        "1 makes a server writable; restore; 2 reads; tick; tick; tick; tick; "
        "2 settles; 2 sends a start; 2's update takes effect; 2 reads; tick; "
        "tick; tick; 2 reads; 2 makes a server writable"
    ),
    "without memory every member must be new": (
        "0 resigns; 1 reads; 0 restarts; restore; 0 joins; 0 reads; tick; "
        "tick; tick; tick; 0 settles; 0 sends a start; "
        "0's update takes effect; 0 reads; tick; tick; heartbeat from 1 to 2; "
        "tick; 0 reads; 0 makes a server writable"
    ),
}


def test_no_violation_is_found_with_all_rules():
    _, violation, trace = search_randomly(400, 120, 3, frozenset(RULES))
    assert not violation, trace


def test_every_rule_has_a_trace():
    assert set(TRACES_BY_RULE) == set(RULES)


@pytest.mark.parametrize("rule", RULES)
def test_a_trace_breaks_a_property_only_without_its_rule(rule):
    trace = tuple(TRACES_BY_RULE[rule].split("; "))
    assert follow_trace(trace, frozenset(RULES) - {rule})
    assert not follow_trace(trace, frozenset(RULES))
