"""All measurements of the running system; the last line is one JSON object."""

import asyncio
import json
import statistics
import sys
import time
from dataclasses import replace

import click

from bench.cluster import DEMO, SENALVIAL, SUBSIDIEWIJZER, Cluster, RunningCluster
from bench.demo import read_peak_connections
from bench.failover import SCENARIOS, make_probe_table, measure_gap
from bench.load import (
    Ledger,
    Plan,
    check_final_data,
    create_table,
    read_counters,
    run_load,
)
from bench.throughput import measure_ratio

SHAPES = {
    "subsidiewijzer": SUBSIDIEWIJZER,
    "senalvial": SENALVIAL,
    "senalvial, reads wait 300 ms": replace(SENALVIAL, read_wait_ms=300),
}
GAP_SHAPES = ("subsidiewijzer", "senalvial")
LAGS_MS = {"10 ms": [10], "200 ms": [200], "jumps to 5 s": [10, 5000]}
WRITE_SHARES = (0.05, 0.2, 0.5)
JUMP_S = 1.5
REPEATS_BY_SCENARIO = {
    "killed primary": 10,
    "paused primary": 10,
    "cut-off failure domain": 10,
    "slow path only": 3,
    "platform outage alone": 3,
    "killed in a platform outage of 6 s": 3,
    "killed 0.5 s before an outage of 3 s": 3,
}


def measure_shares(cluster: Cluster, duration_s: float) -> list[dict]:
    """Measure the share of reads served by replicas, by write share and lag.

    Args:
        cluster: A running deployment.
        duration_s: Length of each load.

    Returns:
        A record for each combination.
    """
    results = []
    for group in range(1, cluster.shape.groups + 1):
        create_table(cluster, f"db{group}")
    for lag_name, lags_ms in LAGS_MS.items():
        for write_share in WRITE_SHARES:
            result = asyncio.run(
                measure_share(cluster, lags_ms, write_share, duration_s)
            )
            results.append({"lag": lag_name, "write_share": write_share, **result})
            click.echo(f"  replica share {json.dumps(results[-1])}")
    return results


async def measure_share(
    cluster: Cluster, lags_ms: list[int], write_share: float, duration_s: float
) -> dict:
    """Run one load on all groups.

    Args:
        cluster: A running deployment.
        lags_ms: Lags that replicas take in turn.
        write_share: Part of the statements that write.
        duration_s: Length of the load.

    Returns:
        Counts, the share and the violations.
    """
    plans = [
        Plan(
            sessions=6,
            write_share=write_share,
            database=f"db{group}",
            seed=round(time.monotonic() * 1000) % 1_000_000,
        )
        for group in range(1, cluster.shape.groups + 1)
    ]
    ledger = Ledger()
    before = await asyncio.to_thread(read_counters, cluster, "read_")
    jumps = asyncio.create_task(_change_lag(cluster, lags_ms))
    await asyncio.sleep(0.2)
    await asyncio.gather(
        *(run_load(cluster, plan, ledger, duration_s) for plan in plans)
    )
    jumps.cancel()
    await asyncio.sleep(0.3)
    after = await asyncio.to_thread(read_counters, cluster, "read_")
    replica = after["read_replica"] - before["read_replica"]
    primary = after["read_primary"] - before["read_primary"]
    await asyncio.to_thread(_set_lag, cluster, 10)
    unavoidable = after["read_primary_unavoidable"] - before["read_primary_unavoidable"]
    for plan in plans:
        await asyncio.to_thread(check_final_data, cluster, plan, ledger)
    return {
        "replica_share": round(replica / max(1, replica + primary), 4),
        "share_of_allowed": round(replica / max(1, replica + primary - unavoidable), 4),
        "reads": int(replica + primary),
        "writes": ledger.events["write"],
        "errors": dict(ledger.error_types),
        "violations": len(ledger.violations),
    }


async def _change_lag(cluster: Cluster, lags_ms: list[int]) -> None:
    while True:
        for lag_ms in lags_ms:
            await asyncio.to_thread(_set_lag, cluster, lag_ms)
            await asyncio.sleep(JUMP_S)


def _set_lag(cluster: Cluster, lag_ms: int) -> None:
    for server_id in cluster.servers_by_id:
        cluster.control_server(server_id, "lag_ms", str(lag_ms))


def measure_gaps(cluster: Cluster, repeats: dict[str, int]) -> dict[str, dict]:
    """Measure failover gaps by the kind of loss.

    Args:
        cluster: A running deployment.
        repeats: Scenario to number of runs.

    Returns:
        Scenario to all gaps, their median and worst, in seconds.
    """
    make_probe_table(cluster)
    results = {}
    for name, count in repeats.items():
        gaps = []
        for _ in range(count):
            gaps.append(round(measure_gap(cluster, *SCENARIOS[name]), 3))
        results[name] = {
            "median_s": round(statistics.median(gaps), 3),
            "worst_s": max(gaps),
            "gaps_s": gaps,
        }
        click.echo(f"  gap {name}: {json.dumps(results[name])}")
    return results


@click.command()
@click.option("--only", type=click.Choice(["speed", "shares", "gaps"]))
@click.option("--shape", "shape_name", type=click.Choice(list(SHAPES)))
@click.option("--duration", default=5.0, help="Seconds of each load.")
@click.option("--repeats", type=int, help="Runs of each loss, instead of the table's.")
@click.option(
    "--scenario",
    "scenarios",
    type=click.Choice(list(REPEATS_BY_SCENARIO)),
    multiple=True,
    help="Only these losses.",
)
def main(
    only: str | None,
    shape_name: str | None,
    duration: float,
    repeats: int | None,
    scenarios: tuple[str, ...],
) -> None:
    """Measure throughput, replica shares and failover gaps."""
    result: dict = {}
    if only in (None, "speed"):
        with RunningCluster(DEMO) as cluster:
            result["speed"] = measure_ratio(cluster, 6000)
            click.echo(f"speed {json.dumps(result['speed'])}")
    table = {
        name: repeats or count
        for name, count in REPEATS_BY_SCENARIO.items()
        if not scenarios or name in scenarios
    }
    names = [shape_name] if shape_name else list(SHAPES)
    for name in names if only != "speed" else ():
        click.echo(name)
        measured: dict = {}
        with RunningCluster(SHAPES[name]) as cluster:
            if only in (None, "shares"):
                measured["replica_shares"] = measure_shares(cluster, duration)
                measured["peak_connections"] = max(
                    read_peak_connections(cluster).values()
                )
            if only in (None, "gaps") and name in GAP_SHAPES:
                measured["gaps"] = measure_gaps(cluster, table)
        result[name] = measured
    click.echo(json.dumps(result))
    sys.exit(0)


if __name__ == "__main__":
    main()
