"""SQL of the request journal, a table in each database group.

The record of a request is inserted in the same transaction as the request's own writes.
Either both are committed or neither is, also after a failover, and the unique key makes
a repeated request wait for the first one or fail.
"""

import re
from dataclasses import dataclass

TABLE = "pollencleat_requests"
DUPLICATE_KEY_CODES = frozenset({1062, 1586})
"""MySQL error codes for a duplicate entry in a unique key."""

_REQUEST_ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,64}$")

CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "customer VARCHAR(63) NOT NULL, request_id VARCHAR(64) NOT NULL, "
    "affected_rows BIGINT NOT NULL, last_insert_id BIGINT NOT NULL, "
    "recorded_at BIGINT NOT NULL, PRIMARY KEY (customer, request_id))"
)


@dataclass(frozen=True, slots=True)
class RecordedOutcome:
    """Result of a request that already ran."""

    affected_rows: int
    last_insert_id: int


def is_valid_request_id(request_id: str) -> bool:
    """Return whether a request id is valid and safe to embed in SQL.

    Args:
        request_id: The id as sent by the caller.

    Returns:
        True for up to 64 letters, digits and ``. _ : -``.
    """
    return bool(_REQUEST_ID_PATTERN.match(request_id))


def claim_request_sql(customer_id: str, request_id: str, recorded_at_s: int) -> str:
    """Return the statement that claims a request id.

    Args:
        customer_id: Client account that the id belongs to.
        request_id: A valid id.
        recorded_at_s: Unix time in seconds.

    Returns:
        SQL that fails with a duplicate-key error if the request already ran.
    """
    return (
        f"INSERT INTO {TABLE} (customer, request_id, affected_rows, last_insert_id, "
        f"recorded_at) VALUES ('{customer_id}', '{request_id}', 0, 0, {recorded_at_s})"
    )


def store_outcome_sql(
    customer_id: str, request_id: str, outcome: RecordedOutcome
) -> str:
    """Return the statement that stores the result of a request.

    Args:
        customer_id: Client account that the id belongs to.
        request_id: An id that ``claim_request_sql`` claimed.
        outcome: Result of the request.

    Returns:
        SQL to run in the transaction that claimed the id.
    """
    return (
        f"UPDATE {TABLE} SET affected_rows = {outcome.affected_rows}, "
        f"last_insert_id = {outcome.last_insert_id} "
        f"WHERE customer = '{customer_id}' AND request_id = '{request_id}'"
    )


def select_sql(customer_id: str, request_id: str) -> str:
    """Return the statement that reads the recorded result of a request.

    Args:
        customer_id: Client account that the id belongs to.
        request_id: A valid id.

    Returns:
        SQL to run on the primary.
    """
    return (
        f"SELECT affected_rows, last_insert_id FROM {TABLE} "
        f"WHERE customer = '{customer_id}' AND request_id = '{request_id}'"
    )


def prune_sql(recorded_before_s: int) -> str:
    """Return the statement that removes records after their retention time.

    Args:
        recorded_before_s: Unix time in seconds; older records are removed.

    Returns:
        SQL to run on the primary.
    """
    return f"DELETE FROM {TABLE} WHERE recorded_at < {recorded_before_s}"
