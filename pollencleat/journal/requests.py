"""SQL of the request journal, which lives in each database group.

The record of a request is inserted in the transaction that does its work.  Both are
therefore there or both are not, also after a failover, and the unique key makes a
second arrival wait for the first or fail.
"""

import re
from dataclasses import dataclass

TABLE = "pollencleat_requests"
DUPLICATE_KEY_CODES = frozenset({1062, 1586})
"""MySQL error codes of a violated unique key."""

_SAFE_ID = re.compile(r"^[A-Za-z0-9._:-]{1,64}$")

CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "customer VARCHAR(63) NOT NULL, request_id VARCHAR(64) NOT NULL, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL, "
    "recorded_at BIGINT NOT NULL, PRIMARY KEY (customer, request_id))"
)


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """What a request that ran before returned."""

    affected_rows: int
    last_insert_id: int


def is_valid_request_id(request_id: str) -> bool:
    """Return whether an id is acceptable.

    Args:
        request_id: As sent by the caller.

    Returns:
        True for up to 64 letters, digits and ``. _ : -``.
    """
    return bool(_SAFE_ID.match(request_id))


def insert_sql(customer_id: str, request_id: str, recorded_at_s: int) -> str:
    """Return the statement that claims a request id.

    Args:
        customer_id: Customer that the id belongs to.
        request_id: A valid id.
        recorded_at_s: Unix time in seconds.

    Returns:
        SQL that fails with a duplicate key if the request ran before.
    """
    return (
        f"INSERT INTO {TABLE} (customer, request_id, affected_rows, last_insert_id, "
        f"recorded_at) VALUES ('{customer_id}', '{request_id}', 0, 0, {recorded_at_s})"
    )


def record_sql(customer_id: str, request_id: str, outcome: RecordedOutcome) -> str:
    """Return the statement that stores what the request returned.

    Args:
        customer_id: Customer that the id belongs to.
        request_id: A claimed id.
        outcome: Result of the work.

    Returns:
        SQL for the same transaction.
    """
    return (
        f"UPDATE {TABLE} SET affected_rows = {outcome.affected_rows}, "
        f"last_insert_id = {outcome.last_insert_id} "
        f"WHERE customer = '{customer_id}' AND request_id = '{request_id}'"
    )


def select_sql(customer_id: str, request_id: str) -> str:
    """Return the statement that finds a recorded outcome.

    Args:
        customer_id: Customer that the id belongs to.
        request_id: A valid id.

    Returns:
        SQL for the primary.
    """
    return (
        f"SELECT affected_rows, last_insert_id FROM {TABLE} "
        f"WHERE customer = '{customer_id}' AND request_id = '{request_id}'"
    )


def prune_sql(older_than_s: int) -> str:
    """Return the statement that removes records past their retention.

    Args:
        older_than_s: Unix time in seconds.

    Returns:
        SQL for the primary.
    """
    return f"DELETE FROM {TABLE} WHERE recorded_at < {older_than_s}"
