"""A ping of another writer reaches an agent that was restarted as planned, before the next ping of its server."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as f  # noqa: E402

CLIENTS = 60
GAP_S = 1.0


async def ping_as_other_writer(fleet, server):
    """Sends pings that lack `born` to the agent of a server, as often as a server does."""
    seq = 0
    while True:
        seq += 1
        body = server.ping_body(seq)
        del body["born"]
        path = f"/instances/other-{server.number}/heartbeat"
        status = await f.http_call((server.ip, f.CONTROL), "POST", path, json.dumps(body))
        fleet.record(f"ping of another writer to side-{server.number}: {status}")
        await asyncio.sleep(f.HEARTBEAT_MS / 1000)


async def play(fleet, has_trouble):
    await fleet.start()
    await fleet.launch()
    await fleet.add_clients(CLIENTS, pause_s=0.2)
    await asyncio.sleep(5)
    start = time.monotonic()
    if has_trouble:
        for server in fleet.servers:
            asyncio.ensure_future(ping_as_other_writer(fleet, server))
    await asyncio.sleep(2)
    # The agents are stopped and started in turn, twice.
    for agent in fleet.agents * 2:
        await agent.restart_as_planned()
        await asyncio.sleep(GAP_S)
    await asyncio.sleep(4)

    for at, key, is_own, is_near, holder, state in fleet.resets:
        if at >= start and not is_own and is_near and holder is not None and state == "open":
            fleet.break_rule("FLOW", f"a reset of the system's own on {key[0]}:{key[1]}, which {holder.name} holds open")
    lost = [ident for ident in fleet.unanswered if fleet.sent[ident] >= start]
    has_run = [ident for ident in lost if fleet.runs.get(ident)]
    fleet.record(f"since the first restart: {len(lost)} requests unanswered, {len(has_run)} of them were run")


f.main(__file__, play)
