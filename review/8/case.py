"""The holder of the duties is stopped, killed before it has ended, and started again; the next holder is stopped."""

import asyncio
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from harness import CONTACT_S, CannotRun, Deployment, LEASE_S, route, run_case  # noqa: E402

NODES = 2
ROUNDS = 8
LAST_ROUND_S = 85.0  # No round begins later than this after the start of the case.
KILL_AFTER_S = 0.5   # From SIGTERM until the process is killed; the grace is 8 s.
RESTART_AFTER_S = 0.2
WAIT_S = 12.0


async def next_call(cloud, since, other_than=None):
    """Returns the first usage call after `since`, if one is named by another holder than `other_than`."""
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end:
        for call in cloud.calls:
            if call[0] > since and call[3] == "/usage" and call[1] != other_than:
                return call
        await asyncio.sleep(0.002)
    return None


def orders_broken(calls, record):
    """The rule: holders act in the order A, B, A inside leaseMs. A holder is one machine; all windows are one subject."""
    broken = []
    acts = [(at, holder, token) for at, holder, token, path, _ in calls if path == "/usage"]
    for first, (at, holder, token) in enumerate(acts):
        others = None
        for later, name, number in acts[first + 1:]:
            if later - at >= LEASE_S:
                break
            if name != holder:
                others = (later, name, number)
            elif others:
                broken.append((holder, others[1], later - at))
                record.add("A, B, A:", holder, "token", token, "then", others[1], "token", others[2], "then", holder,
                           "token", number, f"within {later - at:.3f} s")
                break
    return broken


async def round_of(deployment, record):
    nodes = {node.name: node for node in deployment.nodes}
    call = await next_call(deployment.cloud, time.monotonic())
    if call is None:
        raise CannotRun("nobody reports usage")
    first = nodes[call[1]]
    first.signal(signal.SIGTERM)
    await asyncio.sleep(KILL_AFTER_S)
    first.signal(signal.SIGKILL)
    first.handle.wait()
    await asyncio.sleep(RESTART_AFTER_S)
    first.start()
    call = await next_call(deployment.cloud, call[0], first.name)
    if call is None:
        return
    second = nodes[call[1]]
    second.signal(signal.SIGTERM)
    while second.handle.poll() is None:
        await asyncio.sleep(0.05)
    record.add("ended", second.name)
    second.start()


async def case(record, with_trouble):
    deployment = Deployment(record, NODES, ["north-a"])
    try:
        await deployment.start([route("order", "/order/", "non_idempotent", attempts=1)])
        await asyncio.sleep(CONTACT_S + 1)
        for _ in range(ROUNDS):
            if record.now() > LAST_ROUND_S:
                break
            if with_trouble:
                await round_of(deployment, record)
                if orders_broken(deployment.cloud.calls, record):
                    break
                await asyncio.sleep(1)
            else:
                await asyncio.sleep(10)
        if not deployment.cloud.calls:
            raise CannotRun("nobody reports usage")
        return not orders_broken(deployment.cloud.calls, record)
    finally:
        deployment.end()


run_case(FOLDER, case)
