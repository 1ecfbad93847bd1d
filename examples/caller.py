"""Example client that sends a request id, a consistency token and an age limit.

Run: ``python examples/caller.py HOST PORT OTHER_PORT USER PASSWORD DATABASE``; if
PASSWORD is empty, it is read from the environment variable CALLER_PASSWORD.
"""

import os
import sys

import pymysql


def connect(host: str, port: str, user: str, password: str, database: str):
    """Open a connection in autocommit mode."""
    return pymysql.connect(
        host=host,
        port=int(port),
        user=user,
        password=password,
        database=database,
        autocommit=True,
    )


def main(arguments: list[str]) -> None:
    """Write through one entry VM and read the result through another."""
    host, port, other_port, user, password, database = arguments
    password = password or os.environ.get("CALLER_PASSWORD", "")

    with connect(host, port, user, password, database) as first:
        cursor = first.cursor()
        cursor.execute(
            "CREATE TABLE IF NOT EXISTS claims "
            "(id INTEGER PRIMARY KEY, state VARCHAR(9))"
        )
        claim = (
            "INSERT /* pollencleat: request_id=claim-7f3a */ INTO claims (state) "
            "VALUES ('sent')"
        )
        cursor.execute(claim)
        cursor.execute(claim)
        cursor.execute("SELECT @pollencleat_token")
        token = cursor.fetchone()[0]

    with connect(host, other_port, user, password, database) as second:
        cursor = second.cursor()
        cursor.execute(f"SET @pollencleat_token = '{token}'")
        cursor.execute(
            "SELECT /* pollencleat: max_age_ms=2000 */ COUNT(*) FROM claims "
            "WHERE state = 'sent'"
        )
        print(f"claims seen with token {token}: {cursor.fetchone()[0]}")


if __name__ == "__main__":
    main(sys.argv[1:])
