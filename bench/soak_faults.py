"""Faults of the soak; each function injects one and returns when it is over."""

import asyncio
import contextlib
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TYPE_CHECKING

from standins.faulty_link import FaultyLink, LinkFault
from standins.line_server import LineServer

if TYPE_CHECKING:
    from bench.soak import EntryVm, Soak

FAULT_INTERVAL_S = (0.1, 1.2)
DEPARTURE_INTERVAL_S = (0.4, 2.0)
STUTTER_INTERVAL_S = (0.1, 1.0)
"""Range of the seconds between the starts of two faults."""

RESTART_DELAY_S = 0.2
"""Delay before a process that ended is restarted."""

FAULT_DURATION_S = (0.2, 4.0)
SERVER_FAULT_PAUSE_S = 1.0
"""Pause between two server faults; only one server may be lost at a time."""

BEFORE_LEAVING_S = (0.2, 1.5)
"""Range of the seconds between a new server's start and the leaving of the old one."""

LEAVING_S = (1.5, 7.0)
"""Range of the seconds that a leaving server goes on receiving."""

LEAVING_LIMIT_S = 20.0
"""Seconds that a leaving server waits for another one to have its log."""

LEAVING_STARVES_PROBABILITY = 0.3
"""Probability that a leaving replica may be among those that receive nothing."""

PRIMARY_DOWN_S = (1.0, 6.0)
"""Range of the seconds that a primary is down while replicas receive nothing."""

STOP_LIMIT_S = 8.0
"""Seconds after which a process that was stopped is killed."""

SIGNAL_PAUSE_S = (0.0, 0.6)
"""Range of the seconds between two signals of a series."""

STOP_SIGNALS = (
    (),
    (signal.SIGHUP,),
    (signal.SIGHUP, signal.SIGTERM),
    (signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM,),
)
"""Signals of which one series precedes the last SIGTERM of a stop."""

REPEAT_PROBABILITIES = (0.02, 0.1, 0.3, 1.0)
REPEAT_DELAYS_S = (0.0, 0.02, 0.3, 3.0)
"""Longest delays in seconds of a second answer."""

BUSY_PROBABILITIES = (0.02, 0.1, 0.4)

GRACE_PERIODS_S = (4, 5, 6)
"""Grace periods in seconds that a settings file changes between."""

Fault = Callable[["Soak"], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
DEPARTURE_FAULTS: dict[str, Fault] = {}
PLANNED_FAULTS: dict[str, Fault] = {}
STUTTER_FAULTS: dict[str, Fault] = {}
REFUSAL_FAULTS: dict[str, Fault] = {}


def fault(*registries: dict[str, Fault]) -> Callable[[Fault], Fault]:
    """Register a fault under the name of its function.

    Args:
        registries: Registries to add it to.

    Returns:
        A decorator, which returns the function.
    """

    def register(function: Fault) -> Fault:
        for registry in registries:
            registry[function.__name__] = function
        return function

    return register


@fault(FAULTS)
async def kill_vm(soak: "Soak") -> None:
    """Kill a process and restart it after a delay."""
    vm = soak.draw_vm()
    delay_s = soak.random.uniform(0.2, 1.5)
    if vm.claim():
        vm.process.kill()
        await vm.restart_after(delay_s)


@fault(FAULTS)
async def kill_all_vms(soak: "Soak") -> None:
    """Kill all processes at once and restart each after a delay."""
    claimed_vms = [vm for vm in soak.vms if vm.claim()]
    for vm in claimed_vms:
        vm.process.kill()
    await asyncio.gather(
        *(vm.restart_after(soak.random.uniform(0.2, 1.0)) for vm in claimed_vms)
    )


@fault(FAULTS)
async def stop_vm(soak: "Soak") -> None:
    """Stop a process gracefully and restart it."""
    vm = soak.draw_vm()
    if vm.claim():
        await asyncio.to_thread(vm.process.terminate, 8.0)
        await vm.restart_after(RESTART_DELAY_S)


@fault(FAULTS)
async def suspend_vm(soak: "Soak") -> None:
    """Suspend a process with SIGSTOP for the duration of the fault."""
    vm = soak.draw_vm()
    vm.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.draw_duration_s())
    vm.process.send_signal(signal.SIGCONT)


@fault(FAULTS)
async def reload_vm(soak: "Soak") -> None:
    """Make a process reload its settings file."""
    soak.draw_vm().process.send_signal(signal.SIGHUP)


@fault(FAULTS)
async def harm_store_link(soak: "Soak") -> None:
    """Inject a fault into one entry VM's link to the platform."""
    await inject_link_fault(soak, soak.draw_vm().link)


async def inject_link_fault(soak: "Soak", link: FaultyLink) -> None:
    """Inject a random fault into a link for a random duration."""
    link.set_fault(soak.random.choice([kind for kind in LinkFault if kind != "none"]))
    await asyncio.sleep(soak.draw_duration_s())
    link.set_fault(LinkFault.NONE)


@fault(FAULTS)
async def store_down(soak: "Soak") -> None:
    """Make the store refuse all calls."""
    soak.store.faults.down = True
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.down = False


@fault(FAULTS)
async def store_loses_answers(soak: "Soak") -> None:
    """Make the store lose the responses of some changes that it has applied."""
    soak.store.faults.lose_response_probability = 0.4
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.lose_response_probability = 0.0


@fault(FAULTS)
async def store_is_slow(soak: "Soak") -> None:
    """Delay all responses of the store."""
    soak.store.faults.delay_s = 0.2
    await asyncio.sleep(soak.draw_duration_s())
    soak.store.faults.delay_s = 0.0


@fault(FAULTS)
async def store_forgets(soak: "Soak") -> None:
    """Discard the change history of the store."""
    await soak.store.compact_history()


@fault(FAULTS, PLANNED_FAULTS)
async def change_configuration(soak: "Soak") -> None:
    """Write new versions of the configuration in quick succession."""
    for _ in range(soak.random.randint(1, 4)):
        await soak.put_configuration()
        await asyncio.sleep(0.05)


@fault(FAULTS)
async def harm_server_link(soak: "Soak") -> None:
    """Inject a fault into the link to one server."""
    await soak.inject_server_fault(
        lambda server: inject_link_fault(soak, soak.server_links[server.server_id])
    )


@fault(FAULTS)
async def crash_server(soak: "Soak") -> None:
    """Crash a server and restart it with its log."""

    async def apply_fault(server: LineServer) -> None:
        await server.stop()
        await asyncio.sleep(soak.draw_duration_s())
        await server.restart()

    await soak.inject_server_fault(apply_fault)


@fault(FAULTS)
async def empty_server(soak: "Soak") -> None:
    """Crash a server and restart it without data under the same id."""

    async def apply_fault(server: LineServer) -> None:
        if not all(has_log_of(other, server) for other in soak.group.servers):
            # The group bears the loss of one copy of a commit at a time.
            return
        await server.stop()
        await asyncio.sleep(soak.draw_duration_s())
        await server.restart_empty()
        soak.group.catch_up(server)

    await soak.inject_server_fault(apply_fault)


@fault(FAULTS)
async def silence_server(soak: "Soak") -> None:
    """Make a server stop responding for the duration of the fault."""

    async def apply_fault(server: LineServer) -> None:
        server.faults.silent = True
        await asyncio.sleep(soak.draw_duration_s())
        server.faults.silent = False

    await soak.inject_server_fault(apply_fault)


@fault(FAULTS)
async def lose_server_answers(soak: "Soak") -> None:
    """Make a server execute a few statements without sending the response."""
    soak.random.choice(soak.group.servers).faults.lose_responses += 3


@fault(FAULTS)
async def refuse_own_statements(soak: "Soak") -> None:
    """Make a server reject some of the proxy's own statements."""
    soak.random.choice(soak.group.servers).faults.reject_proxy_statements += 2


@fault(FAULTS)
async def starve_replica(soak: "Soak") -> None:
    """Interrupt replication to a server for the duration of the fault."""

    async def apply_fault(server: LineServer) -> None:
        soak.group.unreachable_replica_ids.add(server.server_id)
        await asyncio.sleep(soak.draw_duration_s())
        soak.group.unreachable_replica_ids.discard(server.server_id)
        soak.group.catch_up(server)

    await soak.inject_server_fault(apply_fault)


def has_log_of(server: LineServer, other: LineServer) -> bool:
    """Return whether a server has every log entry of another one."""
    return set(server.log) >= set(other.log)


@fault(DEPARTURE_FAULTS, PLANNED_FAULTS)
async def release_server(soak: "Soak") -> None:
    """Start a new server; then an old one announces that it leaves, and ends.

    Until its end it receives the log and acknowledges commits.  It ends once another
    server has its log, so that no commit is lost with it.
    """
    if soak.release_lock.locked():
        return
    async with soak.release_lock:
        generator = soak.departures_random
        leaving = generator.choice([soak.find_primary(), *soak.group.servers])
        await soak.add_server(leaving.zone)
        await asyncio.sleep(generator.uniform(*BEFORE_LEAVING_S))
        soak.record_event(
            f"{leaving.server_id} leaves, primary: {leaving.is_primary}, "
            f"log at {leaving.received()}"
        )
        leaving.draining = True
        await asyncio.sleep(generator.uniform(*LEAVING_S))
        others = [server for server in soak.group.servers if server is not leaving]
        deadline_s = time.monotonic() + LEAVING_LIMIT_S
        while not any(has_log_of(server, leaving) for server in others):
            if time.monotonic() > deadline_s:
                soak.record_event(f"{leaving.server_id} stays, it alone has its log")
                return
            await asyncio.sleep(RESTART_DELAY_S)
        await soak.remove_server(leaving)


@fault(DEPARTURE_FAULTS)
async def starve_replicas(soak: "Soak") -> None:
    """Interrupt replication to one or two replicas."""
    if soak.starve_lock.locked():
        return
    async with starved_replicas(soak):
        await asyncio.sleep(soak.departures_random.uniform(*FAULT_DURATION_S))


@fault(DEPARTURE_FAULTS)
async def starve_replicas_and_crash_primary(soak: "Soak") -> None:
    """Crash the primary while one or two replicas receive nothing."""
    if soak.starve_lock.locked():
        return
    generator = soak.departures_random
    async with starved_replicas(soak) as primary:
        await asyncio.sleep(generator.uniform(*FAULT_DURATION_S) / 2)
        soak.record_event(
            f"{primary.server_id} crashes, primary: {primary.is_primary}, "
            f"log at {primary.received()}"
        )
        await primary.stop()
        await asyncio.sleep(generator.uniform(*PRIMARY_DOWN_S))
        await primary.restart()
        soak.record_event(f"{primary.server_id} is back")


@contextlib.asynccontextmanager
async def starved_replicas(soak: "Soak") -> AsyncIterator[LineServer]:
    """Interrupt replication to one or two replicas, preferably to those that stay.

    Args:
        soak: The run.

    Yields:
        The primary.
    """
    generator = soak.departures_random
    async with soak.starve_lock, soak.server_lock:
        primary = soak.find_primary()
        replicas = [server for server in soak.group.servers if server is not primary]
        staying = [server for server in replicas if not server.draining]
        starved = generator.sample(staying, min(len(staying), generator.randint(1, 2)))
        if generator.random() < LEAVING_STARVES_PROBABILITY:
            starved = generator.sample(replicas, len(starved))
        starved_ids = [server.server_id for server in starved]
        soak.record_event(f"{', '.join(starved_ids)} receive nothing")
        soak.group.unreachable_replica_ids.update(starved_ids)
        yield primary
        soak.group.unreachable_replica_ids.difference_update(starved_ids)
        for server in starved:
            soak.group.catch_up(server)
        await asyncio.sleep(SERVER_FAULT_PAUSE_S)


@fault(PLANNED_FAULTS)
async def stop_in_series(soak: "Soak") -> None:
    """Stop some processes shortly one after the other, and restart each."""
    stopping = []
    for vm in soak.random.sample(soak.vms, soak.random.randint(1, len(soak.vms))):
        if not vm.claim():
            continue
        stopping.append(asyncio.create_task(_stop_as_planned(soak, vm)))
        await asyncio.sleep(soak.random.uniform(*FAULT_DURATION_S) / 2)
    await asyncio.gather(*stopping)


async def _stop_as_planned(soak: "Soak", vm: "EntryVm") -> None:
    """Stop a process with SIGTERM, at times repeated or amid SIGHUPs."""
    for number in soak.random.choice(STOP_SIGNALS):
        vm.process.send_signal(number)
        await asyncio.sleep(soak.random.uniform(*SIGNAL_PAUSE_S))
    stopped_s = time.monotonic()
    code = await asyncio.to_thread(vm.process.terminate, STOP_LIMIT_S)
    took_s = time.monotonic() - stopped_s
    text = f"vm-{vm.number} ended with code {code} in {took_s:.1f} s"
    soak.record_event(text)
    if code:
        soak.unclean_stops.append(f"STOP: {text}")
    await asyncio.sleep(RESTART_DELAY_S)
    vm.process.start()
    await soak.wait_until_settled(vm)
    vm.is_claimed = False


@fault(PLANNED_FAULTS)
async def reload_in_series(soak: "Soak") -> None:
    """Change settings files and make processes read them, several times."""
    for _ in range(soak.random.randint(1, 6)):
        vm = soak.draw_vm()
        if vm.is_claimed:
            # A signal before the handlers are installed would end the process.
            continue
        vm.write_settings(soak.random.choice(GRACE_PERIODS_S))
        vm.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(soak.random.uniform(*SIGNAL_PAUSE_S))


@fault(STUTTER_FAULTS)
async def answer_twice(soak: "Soak") -> None:
    """Make a server send some of its answers of every kind a second time."""
    generator = soak.stutter_random
    server = generator.choice(soak.group.servers)
    server.faults.repeat_delay_s = (0.0, generator.choice(REPEAT_DELAYS_S))
    server.faults.repeat_probability = generator.choice(REPEAT_PROBABILITIES)
    soak.record_event(
        f"{server.server_id} answers twice: {server.faults.repeat_probability}, "
        f"after {server.faults.repeat_delay_s[1]} s at most"
    )
    await asyncio.sleep(generator.uniform(*FAULT_DURATION_S))
    server.faults.repeat_probability = 0.0


@fault(REFUSAL_FAULTS)
async def refuse_statements(soak: "Soak") -> None:
    """Make a server reject statements of all kinds, of callers and of the proxy."""
    generator = soak.stutter_random
    server = generator.choice(soak.group.servers)
    server.faults.busy_probability = generator.choice(BUSY_PROBABILITIES)
    await asyncio.sleep(generator.uniform(*FAULT_DURATION_S))
    server.faults.busy_probability = 0.0


@fault(REFUSAL_FAULTS)
async def split_answers(soak: "Soak") -> None:
    """Make a server send its answers in segments that end anywhere."""
    generator = soak.stutter_random
    server = generator.choice(soak.group.servers)
    server.faults.split_probability = generator.random()
    await asyncio.sleep(generator.uniform(*FAULT_DURATION_S))
    server.faults.split_probability = 0.0
