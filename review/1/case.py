"""A node beside an endpoint is stopped and started in turn while its endpoint drains."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402

FLOWS = 300


async def use(flow, number, stop):
    """A requester keeps a flow open, with a pause between its requests."""
    sent = 0
    await asyncio.sleep(number % 20 * 0.1)
    while flow.state == "open" and not stop.is_set():
        await flow.call(f"q-{number}-{sent}", 2.0)
        sent += 1
        await asyncio.sleep(2.0)


async def case(deployment, record, has_trouble):
    requesters = deployment.requesters
    flows = [requesters[n % 3].flow(deployment.route(0)) for n in range(FLOWS)]
    opened = []
    for flow in flows:
        if await flow.open():
            opened.append(flow)
    record.say(f"{len(opened)} flows of {FLOWS} are open")
    if len(opened) < FLOWS // 2:
        raise standins.CannotRun("too few flows are open")
    stop = asyncio.Event()
    users = [asyncio.create_task(use(flow, n, stop)) for n, flow in enumerate(opened)]
    # All machines are in touch.
    await asyncio.sleep(standins.STABLE_MS / 1000 + 1.0)
    if any(flow.system_reset_at for flow in opened):
        raise standins.CannotRun("flows were reset before the disruption")

    leaving = max(deployment.endpoints, key=lambda it: len(it.open_flows()))
    await leaving.drain()
    held = {flow: deployment.owner_of(flow) for flow in opened}
    await asyncio.sleep(0.3)
    if has_trouble:
        await deployment.processes[leaving.node].restart()
    await asyncio.sleep(max(0, leaving.drain_acknowledged_at + 5.0 - time.monotonic()))
    still_open = set(leaving.open_flows())
    ended_at = time.monotonic()
    await leaving.leave()
    stop.set()
    for user in users:
        user.cancel()

    violations = []
    for flow, endpoint in held.items():
        if flow.system_reset_at is None or flow.system_reset_at >= ended_at:
            continue
        if endpoint is leaving and flow.key() in still_open:
            violations.append(f"FLOW: {flow} was reset by the system; endpoint {leaving.id} lives and holds it")
        else:
            record(f"flow {flow} was reset by the system; its endpoint was {endpoint and endpoint.id}")
    return violations


standins.run(FOLDER, case)
