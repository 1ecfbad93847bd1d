"""Processor time of a read by part, from a profile of the daemon's own code."""

import asyncio
import cProfile
import json
import pstats
import sys
import time

import uvloop

from bench.cluster import DEMO, Cluster, RunningCluster
from bench.throughput import CONCURRENCY, WARM_UP
from pollencleat.daemon.application import Application
from pollencleat.daemon.settings import load_settings

STATEMENTS = 6000
SETTLE_S = 5.0
PARTS_BY_PATH = {
    "callers/stream": "decode",
    "callers/connection": "decode",
    "routing/statements": "decode",
    "mysql_mimic": "encode",
    "callers/relay": "encode",
    "callers/context": "encode",
    "routing/": "decide",
    "membership/": "decide",
    "callers/gateway": "decide",
    "callers/reads": "decide",
    "callers/session": "decide",
    "core/": "decide",
    "promotion/": "control",
    "daemon/": "control",
    "peers/": "control",
    "zmq": "control",
    "limits/": "queue",
    "backend/pool": "queue",
    "backend/": "backend",
    "asyncmy": "backend",
    "reports/": "metrics",
    "opentelemetry": "metrics",
    "asyncio": "event loop",
}


def find_part(path: str) -> str:
    """Return the part that a source file belongs to.

    Args:
        path: File name as the profiler gives it.

    Returns:
        The part of the first matching path, or other.
    """
    for piece, part in PARTS_BY_PATH.items():
        if piece in path:
            return part
    return "other"


def sum_parts(profile: cProfile.Profile, statements: int) -> dict[str, float]:
    """Return the profiled time of a statement by part.

    Args:
        profile: A finished profile.
        statements: Statements that it covers.

    Returns:
        Part to microseconds, built-in functions counted as other.
    """
    totals: dict[str, float] = {}
    for (path, _, _), row in pstats.Stats(profile).stats.items():
        part = find_part(path)
        totals[part] = totals.get(part, 0.0) + row[2]
    return {
        part: round(seconds / statements * 1e6, 1)
        for part, seconds in sorted(totals.items(), key=lambda item: -item[1])
    }


async def profile_daemon(cluster: Cluster, node_id: str) -> dict[str, float]:
    """Run a node in this process under the profiler, with a load from another.

    Args:
        cluster: The deployment; the node's own process has ended.
        node_id: The node.

    Returns:
        Part to microseconds a statement.
    """
    application = Application(load_settings(cluster.folder / f"{node_id}.ini"))
    await application.start()
    await asyncio.sleep(SETTLE_S)
    profile = cProfile.Profile()
    load = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.throughput",
        "--port",
        str(cluster.caller_ports[node_id]),
        "--count",
        str(STATEMENTS),
    )
    profile.enable()
    await load.wait()
    profile.disable()
    await application.stop()
    return sum_parts(profile, STATEMENTS + CONCURRENCY * WARM_UP)


def main() -> None:
    """Print the parts as one JSON object."""
    with RunningCluster(DEMO) as cluster:
        node_id = next(iter(cluster.nodes_by_id))
        with cluster.connect(node_id) as connection:
            cursor = connection.cursor()
            cursor.execute("CREATE TABLE speed (id INTEGER PRIMARY KEY, v INT)")
            cursor.execute("REPLACE INTO speed VALUES (7, 49)")
        time.sleep(0.5)
        cluster.nodes_by_id[node_id].terminate()
        parts = uvloop.run(profile_daemon(cluster, node_id))
    print(json.dumps(parts))


if __name__ == "__main__":
    main()
