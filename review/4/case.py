"""Requesters that open their flows from fixed ports, while an endpoint drains."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))

import standins  # noqa: E402

# For comparison: with 1, every flow is opened from a new port.
HAS_NEW_PORTS = os.environ.get("NEW_PORTS") == "1"

PORTS = 70
PAUSE_S = 1.0


async def use(requester, port, route, stop):
    """Keeps a flow open for many requests, with pauses between them.

    If the endpoint closes the flow first, the next request opens one from the same port, once both ends have closed
    it. All other flows are opened from new ports.
    """
    sent = 0
    await asyncio.sleep(port % 20 * 0.05)
    while not stop.is_set():
        flow = standins.Flow(requester, port, route)
        requester.flows[flow.key()] = flow
        if await flow.open():
            while flow.state == "open" and not stop.is_set():
                await flow.call(f"q-{requester.ip}-{sent}", 2.0)
                sent += 1
                await asyncio.sleep(PAUSE_S)
        if HAS_NEW_PORTS or not await flow.has_ended():
            port += PORTS
            await asyncio.sleep(0.1)


async def case(deployment, record, has_trouble):
    stop = asyncio.Event()
    route = deployment.route(0)
    users = [asyncio.create_task(use(r, 41_000 + n, route, stop))
             for r in deployment.requesters for n in range(PORTS)]
    await asyncio.sleep(standins.STABLE_MS / 1000 + 2.0)
    leaving = max(deployment.endpoints, key=lambda it: len(it.ran))
    if has_trouble:
        await leaving.drain()
        await asyncio.sleep(standins.DRAIN_MS / 1000 + 3.0)
    else:
        await asyncio.sleep(6.0)
    stop.set()
    for user in users:
        user.cancel()
    if not has_trouble:
        return []
    limit = leaving.drain_acknowledged_at + standins.DRAIN_MS / 1000
    late = [f for f in leaving.openings if f[0] > limit]
    return [f"DRAIN: {leaving.id} took the opening packet {packet}, "
            f"{at - leaving.drain_acknowledged_at:.3f} s after the ack" for at, packet in late]


standins.run(FOLDER, case)
