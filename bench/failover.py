"""Failover gaps of running deployments, by the kind of loss."""

import itertools
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pymysql

from bench.cluster import Cluster

GROUP = "group-1"
DATABASE = "db1"
PROBE_S = 0.02
SETTLE_LIMIT_S = 40.0
GAP_LIMIT_S = 30.0
QUIET_S = 1.5


@dataclass
class Probe:
    """Writes through one node all the time and notes when it succeeds."""

    cluster: Cluster
    node_id: str
    acknowledged_s: list[float] = field(default_factory=list)
    failed_s: list[float] = field(default_factory=list)
    stopped: threading.Event = field(default_factory=threading.Event)

    def start(self) -> None:
        """Begin to write."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop writing."""
        self.stopped.set()
        self._thread.join(timeout=10)

    def _run(self) -> None:
        connection = None
        while not self.stopped.is_set():
            try:
                if connection is None:
                    connection = self.cluster.connect(self.node_id, DATABASE)
                connection.cursor().execute(
                    "INSERT INTO probe (node) VALUES ('" + self.node_id + "')"
                )
                self.acknowledged_s.append(time.monotonic())
            except pymysql.err.InterfaceError:
                connection = None
            except pymysql.MySQLError as error:
                self.failed_s.append(time.monotonic())
                if error.args and error.args[0] in (2003, 2006, 2013):
                    connection = None
            time.sleep(PROBE_S)


def make_probe_table(cluster: Cluster) -> None:
    """Create the table that probes write to.

    Args:
        cluster: The deployment.
    """
    with cluster.connect(next(iter(cluster.nodes_by_id)), DATABASE) as connection:
        connection.cursor().execute(
            "CREATE TABLE IF NOT EXISTS probe "
            "(id INTEGER PRIMARY KEY, node VARCHAR(40))"
        )


def measure_gap(
    cluster: Cluster,
    break_it: Callable[[Cluster, str], list[str]],
    mend_it: Callable[[Cluster, str], None],
    expects_loss: bool = True,
) -> float:
    """Return the time without writes after a fault.

    Args:
        cluster: A deployment in order.
        break_it: Causes the fault; given the primary, returns the nodes whose callers
            are not counted because the fault cuts them off.
        mend_it: Undoes the fault.
        expects_loss: Writes must fail or stall.

    Returns:
        Seconds from the fault until writes are served again at every counted node; the
        longest pause of any node if nothing is lost.
    """
    primary = cluster.primary_of(GROUP)
    probes = [Probe(cluster, node_id) for node_id in cluster.nodes_by_id]
    for probe in probes:
        probe.start()
    time.sleep(0.5)
    broken_at_s = time.monotonic()
    uncounted = break_it(cluster, primary)
    counted = [probe for probe in probes if probe.node_id not in uncounted]
    if expects_loss:
        gap_s = max(_wait_for_writes(probe, broken_at_s) for probe in counted)
    else:
        time.sleep(8.0)
        gap_s = max(_longest_pause(probe, broken_at_s) for probe in counted)
    for probe in probes:
        probe.stop()
    mend_it(cluster, primary)
    wait_until_in_order(cluster)
    return gap_s


def _wait_for_writes(probe: Probe, since_s: float) -> float:
    """Return when a node first served writes again without a later pause."""
    deadline_s = since_s + GAP_LIMIT_S
    while time.monotonic() < deadline_s:
        time.sleep(0.05)
        served = [at for at in probe.acknowledged_s if at > since_s]
        now_s = time.monotonic()
        if not served or now_s - since_s < QUIET_S:
            continue
        pauses = [since_s, *served, now_s]
        gaps = [
            (later - earlier, later) for earlier, later in itertools.pairwise(pauses)
        ]
        longest, ended_s = max(gaps)
        # Until the loss is noticed, writes are still being answered.
        if now_s - ended_s > 0.3 and longest > 5 * PROBE_S:
            return ended_s - since_s
        if now_s - since_s > 8.0 and longest <= 5 * PROBE_S:
            return 0.0
    return GAP_LIMIT_S


def _longest_pause(probe: Probe, since_s: float) -> float:
    served = [since_s, *(at for at in probe.acknowledged_s if at > since_s)]
    served.append(time.monotonic())
    pauses = [later - earlier for earlier, later in itertools.pairwise(served)]
    return max(pauses)


def wait_until_in_order(cluster: Cluster) -> None:
    """Wait until all servers are in line again.

    Args:
        cluster: The deployment.
    """
    time.sleep(1.0)
    cluster.wait_until_ready()


# Faults.


def kill_primary(cluster: Cluster, primary: str) -> list[str]:
    """Kill the primary's process."""
    cluster.servers_by_id[primary].kill()
    return []


def restart_server(cluster: Cluster, server_id: str) -> None:
    """Start a killed server again, empty."""
    cluster.servers_by_id[server_id].start()


def pause_primary(cluster: Cluster, primary: str) -> list[str]:
    """Pause the primary's process."""
    cluster.servers_by_id[primary].send_signal(signal.SIGSTOP)
    return []


def resume_server(cluster: Cluster, server_id: str) -> None:
    """Let a paused server go on."""
    cluster.servers_by_id[server_id].send_signal(signal.SIGCONT)


def cut_domain_of_primary(cluster: Cluster, primary: str) -> list[str]:
    """Cut the primary's failure domain off."""
    domain = cluster.domain_by_server[primary]
    cluster.cut_domain(domain)
    return [node for node, name in cluster.domain_by_node.items() if name == domain]


def mend_cuts(cluster: Cluster, primary: str) -> None:
    """Undo the cut."""
    cluster.mend_cuts()


def kill_primary_and_pause_a_node(cluster: Cluster, primary: str) -> list[str]:
    """Kill the primary while an entry VM is paused: only the slow path is left."""
    node_id = list(cluster.nodes_by_id)[-1]
    cluster.nodes_by_id[node_id].send_signal(signal.SIGSTOP)
    cluster.servers_by_id[primary].kill()
    return [node_id]


def restart_server_and_resume_nodes(cluster: Cluster, primary: str) -> None:
    """Undo kill_primary_and_pause_a_node."""
    for node in cluster.nodes_by_id.values():
        node.send_signal(signal.SIGCONT)
    cluster.servers_by_id[primary].start()


def begin_outage(cluster: Cluster, primary: str) -> list[str]:
    """Stop the platform from answering."""
    cluster.call_platform("POST", "/control", {"outage": True})
    return []


def end_outage(cluster: Cluster, primary: str) -> None:
    """Let the platform answer again."""
    cluster.call_platform("POST", "/control", {"outage": False})


def kill_primary_in_outage(cluster: Cluster, primary: str) -> list[str]:
    """Kill the primary in a platform outage that ends three seconds later."""
    begin_outage(cluster, primary)
    time.sleep(3.0)
    cluster.servers_by_id[primary].kill()
    threading.Timer(3.0, end_outage, (cluster, primary)).start()
    return []


def kill_primary_just_before_outage(cluster: Cluster, primary: str) -> list[str]:
    """Kill the primary, and begin an outage half a second later, for three seconds."""
    cluster.servers_by_id[primary].kill()
    threading.Timer(0.5, begin_outage, (cluster, primary)).start()
    threading.Timer(3.5, end_outage, (cluster, primary)).start()
    return []


def restart_server_after_outage(cluster: Cluster, server_id: str) -> None:
    """Wait until the outage is over, also if writes were served before, and restart."""
    time.sleep(4.0)
    cluster.servers_by_id[server_id].start()


SCENARIOS: dict[str, tuple[Callable, Callable, bool]] = {
    "killed primary": (kill_primary, restart_server, True),
    "paused primary": (pause_primary, resume_server, True),
    "cut-off failure domain": (cut_domain_of_primary, mend_cuts, True),
    "slow path only": (
        kill_primary_and_pause_a_node,
        restart_server_and_resume_nodes,
        True,
    ),
    "platform outage alone": (begin_outage, end_outage, False),
    "killed in a platform outage of 6 s": (
        kill_primary_in_outage,
        restart_server,
        True,
    ),
    "killed 0.5 s before an outage of 3 s": (
        kill_primary_just_before_outage,
        restart_server_after_outage,
        True,
    ),
}
