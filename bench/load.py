"""A load of sessions that roam between entry VMs and check every answer."""

import asyncio
import itertools
import random
import re
import time
from collections import Counter
from dataclasses import dataclass, field

import asyncmy
import asyncmy.errors

from bench.cluster import CALLER_PASSWORD, CALLER_USER, Cluster

TABLE_SQL = (
    "CREATE TABLE IF NOT EXISTS ledger (seq INTEGER PRIMARY KEY, session VARCHAR(20), "
    "n BIGINT, tag VARCHAR(60))"
)
STATEMENTS_PER_VISIT = 12
RETRY_S = 0.05
CALL_LIMIT_S = 15.0


@dataclass
class Ledger:
    """What happened, and which promises were broken.

    Attributes:
        acknowledged: Tags of acknowledged writes with the time of the answer.
        not_run: Tags of writes that were refused as not run.
        told_lost: Sessions that were told that a failover lost their writes.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)
    not_run: set[str] = field(default_factory=set)
    unknown: set[str] = field(default_factory=set)
    told_lost: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    events: Counter = field(default_factory=Counter)
    error_types: Counter = field(default_factory=Counter)
    write_times: list[float] = field(default_factory=list)
    failures: list[float] = field(default_factory=list)


@dataclass
class Plan:
    """How a load behaves.

    Attributes:
        write_share: Part of the statements that write.
        use_tokens: Share of the sessions that carry a token.
        think_s: Pause between two statements of a session.
    """

    sessions: int = 8
    write_share: float = 0.2
    use_tokens: float = 0.5
    think_s: float = 0.01
    database: str = "db1"
    seed: int = 1


class Session:
    """One user's session, at one entry VM at a time."""

    def __init__(
        self, cluster: Cluster, plan: Plan, ledger: Ledger, number: int
    ) -> None:
        """Create a session with its own seeded choices."""
        self._cluster = cluster
        self._plan = plan
        self._ledger = ledger
        self._name = f"{plan.database}-{plan.seed}-s{number}"
        self._random = random.Random(f"{plan.seed}/{number}")
        self._counter = itertools.count(1)
        self._token = ""
        self._carries_token = self._random.random() < plan.use_tokens
        self._expected: dict[str, int] = {}

    async def run(self, until_s: float, nodes: list[str]) -> None:
        """Visit entry VMs until a time.

        Args:
            until_s: Monotonic time of the end.
            nodes: Entry VMs to visit.
        """
        while time.monotonic() < until_s:
            node_id = self._random.choice(nodes)
            try:
                async with asyncio.timeout(CALL_LIMIT_S):
                    connection = await self._connect(node_id)
            except (asyncmy.errors.MySQLError, OSError, TimeoutError):
                self._ledger.events["connect_failed"] += 1
                await asyncio.sleep(RETRY_S)
                continue
            try:
                await self._visit(connection, until_s)
            except (OSError, TimeoutError):
                self._ledger.events["visit_broken"] += 1
            finally:
                connection.close()

    async def _connect(self, node_id: str) -> asyncmy.Connection:
        return await asyncmy.connect(
            host="127.0.0.1",
            port=self._cluster.caller_ports[node_id],
            user=CALLER_USER,
            password=CALLER_PASSWORD,
            database=self._plan.database,
            autocommit=True,
            connect_timeout=3,
        )

    async def _visit(self, connection: asyncmy.Connection, until_s: float) -> None:
        cursor = connection.cursor()
        if self._carries_token and self._token:
            await self._execute(cursor, f"SET @pollencleat_token = '{self._token}'")
        for _ in range(STATEMENTS_PER_VISIT):
            if time.monotonic() >= until_s:
                return
            if self._random.random() < self._plan.write_share:
                await self._write(cursor)
            else:
                await self._read(cursor)
            await asyncio.sleep(self._plan.think_s)

    async def _execute(self, cursor: object, sql: str) -> tuple | None:
        """Run a statement; None means an error, which was counted."""
        try:
            async with asyncio.timeout(CALL_LIMIT_S):
                await cursor.execute(sql)
                return tuple(await cursor.fetchall() or ())
        except asyncmy.errors.MySQLError as error:
            self._note_error(error)
            return None

    def _note_error(self, error: Exception) -> None:
        text = str(error)
        match = re.search(r"(\w+Error) \[([a-z ]+)\]", text)
        kind = match[1] if match else type(error).__name__
        self._ledger.error_types[kind] += 1
        self._last_outcome = match[2] if match else "unknown"
        if kind == "SessionHistoryLostError":
            self._ledger.told_lost.add(self._name)
            self._expected.clear()
            self._token = ""

    async def _write(self, cursor: object) -> None:
        ledger = self._ledger
        number = next(self._counter)
        tag = f"{self._name}-{number}"
        use_id = number % 2 == 0
        hint = f"/* pollencleat: request_id={tag} */ " if use_id else ""
        sql = (
            f"INSERT {hint}INTO ledger (session, n, tag) "
            f"VALUES ('{self._name}', {number}, '{tag}')"
        )
        self._last_outcome = "unknown"
        rows = await self._execute(cursor, sql)
        if rows is None:
            ledger.failures.append(time.monotonic())
            if self._last_outcome == "not run":
                ledger.not_run.add(tag)
            elif self._last_outcome == "unknown":
                ledger.unknown.add(tag)
            ledger.events["write_failed"] += 1
            return
        ledger.write_times.append(time.monotonic())
        ledger.events["write"] += 1
        ledger.acknowledged[tag] = time.monotonic()
        self._expected[tag] = number
        if use_id:
            await self._repeat(cursor, sql)
        token = await self._execute(cursor, "SELECT @pollencleat_token")
        if token:
            self._token = token[0][0]

    async def _repeat(self, cursor: object, sql: str) -> None:
        if self._random.random() < 0.3:
            await self._execute(cursor, sql)
            self._ledger.events["repeat"] += 1

    async def _read(self, cursor: object) -> None:
        ledger = self._ledger
        probe = f"{self._name}-{self._random.getrandbits(40)}"
        rows = await self._execute(
            cursor,
            f"SELECT tag, '{probe}' FROM ledger WHERE session = '{self._name}' "
            "ORDER BY seq",
        )
        if rows is None:
            ledger.events["read_failed"] += 1
            return
        ledger.events["read"] += 1
        if any(row[1] != probe for row in rows):
            ledger.violations.append(f"{self._name}: got the answer to another request")
        seen = {row[0] for row in rows}
        if len(seen) != len(rows):
            ledger.violations.append(f"{self._name}: a write appears twice")
        missing = [tag for tag in self._expected if tag not in seen]
        if missing:
            ledger.events["own_write_missing"] += 1
            self._note_missing(missing)

    def _note_missing(self, missing: list[str]) -> None:
        text = f"{self._name}: own writes not seen: {missing[:3]}"
        if self._carries_token:
            self._ledger.violations.append(text)
        else:
            # Without a token a session cannot be told what a failover lost; whether
            # that is what happened is decided when the final data is checked.
            self._ledger.events["missing_without_token"] += 1
            self._ledger.violations.append(f"untold {text}")
        for tag in missing:
            del self._expected[tag]


async def run_load(
    cluster: Cluster, plan: Plan, ledger: Ledger, duration_s: float
) -> None:
    """Run sessions for a time.

    Args:
        cluster: The deployment.
        plan: How they behave.
        ledger: Where results go.
        duration_s: For how long.
    """
    until_s = time.monotonic() + duration_s
    nodes = list(cluster.nodes_by_id)
    sessions = [
        Session(cluster, plan, ledger, number) for number in range(plan.sessions)
    ]
    await asyncio.gather(*(session.run(until_s, nodes) for session in sessions))


def create_table(cluster: Cluster, database: str) -> None:
    """Create the ledger table.

    Args:
        cluster: The deployment.
        database: Database name.
    """
    node_id = next(iter(cluster.nodes_by_id))
    with cluster.connect(node_id, database) as connection:
        connection.cursor().execute(TABLE_SQL)


def check_final_data(cluster: Cluster, plan: Plan, ledger: Ledger) -> None:
    """Compare the ledger with what the primary holds in the end.

    A write that was lost by a failover is excused from read-your-writes of sessions
    without a token; every other promise is checked to the letter.

    Args:
        cluster: The deployment.
        plan: The load's plan.
        ledger: Results; violations are added.
    """
    group_id = f"group-{plan.database.removeprefix('db')}"
    primary = cluster.primary_of(group_id)
    with cluster.connect_server(primary) as connection:
        cursor = connection.cursor()
        cursor.execute("SELECT tag FROM ledger")
        tags = Counter(row[0] for row in cursor.fetchall())
    for tag, count in tags.items():
        if count > 1:
            ledger.violations.append(f"{tag} ran {count} times")
    for tag in ledger.not_run:
        if tag in tags:
            ledger.violations.append(f"{tag} was refused as not run but ran")
    lost = [tag for tag in ledger.acknowledged if tag not in tags]
    ledger.events["acknowledged_then_lost"] = len(lost)
    kept = []
    for text in ledger.violations:
        is_excused = text.startswith("untold") and any(
            f"'{tag}'" in text for tag in lost
        )
        if not is_excused:
            kept.append(text)
    ledger.violations[:] = kept


def find_write_gap(ledger: Ledger, since_s: float) -> float:
    """Return how long writes were not served after a moment.

    Args:
        ledger: Results.
        since_s: Monotonic time of the failure.

    Returns:
        Seconds from the failure to the first write that was acknowledged after the
        last error that followed it; 0 if no write failed.
    """
    failed = [at for at in ledger.failures if at >= since_s]
    if not failed:
        return 0.0
    first_failure = failed[0]
    later = [at for at in ledger.write_times if at > first_failure]
    return (later[0] if later else time.monotonic()) - since_s


def read_counters(cluster: Cluster, prefix: str) -> Counter:
    """Return event counters of all nodes that answer.

    Args:
        cluster: The deployment.
        prefix: What event names begin with.

    Returns:
        Event name to sum.
    """
    pattern = re.compile(
        rf'pollencleat_events_total\{{[^}}]*event="({prefix}\w*)"[^}}]*\}} (\S+)'
    )
    total: Counter = Counter()
    for node_id in cluster.nodes_by_id:
        try:
            text = cluster.read_metrics(node_id)
        except OSError:
            continue
        for name, value in pattern.findall(text):
            total[name] += float(value)
    return total
