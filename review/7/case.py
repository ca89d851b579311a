"""The reader of one agent's standard output pauses; the agent must not block on its log."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib2"))
import fleet as f  # noqa: E402

PAUSE_S = 25
CLIENTS = 60


class Collector:
    """Reads the standard output of a process through a pipe, as a log collector does."""

    def __init__(self):
        self.read_end, self.write_end = os.pipe()
        os.set_blocking(self.read_end, False)
        self.lines = 0
        self.resume()

    def output(self):
        return os.dup(self.write_end)

    def read(self):
        try:
            self.lines += os.read(self.read_end, 1 << 20).count(b"\n")
        except BlockingIOError:
            pass

    def pause(self):
        asyncio.get_running_loop().remove_reader(self.read_end)

    def resume(self):
        asyncio.get_running_loop().add_reader(self.read_end, self.read)


async def play(fleet, has_trouble):
    await fleet.start()
    collectors = []
    for process in fleet.balancers + fleet.agents:
        collector = Collector()
        process.open_output = collector.output
        collectors.append(collector)
    await fleet.launch()
    await fleet.add_clients(CLIENTS)
    await asyncio.sleep(6)

    number = 0
    server, collector = fleet.servers[number], collectors[len(fleet.balancers) + number]
    start = time.monotonic()
    if has_trouble:
        collector.pause()
        fleet.record(f"the log reader of side-{number + 1} pauses")
    await asyncio.sleep(PAUSE_S)
    if has_trouble:
        collector.resume()
        fleet.record(f"the log reader of side-{number + 1} goes on")
    await asyncio.sleep(6)

    for at, key, is_own, is_near, holder, state in fleet.resets:
        is_steady = holder is not None and time.monotonic() - holder.up_since > f.STABLE_MS / 1000
        if at >= start and not is_own and is_near and is_steady and state == "open":
            fleet.break_rule("FLOW", f"a reset of the system's own on {key[0]}:{key[1]}, which {holder.name} holds open")
    lost = [ident for ident, why in fleet.unanswered.items() if fleet.sent[ident] >= start]
    has_run = [ident for ident in lost if fleet.runs.get(ident)]
    fleet.record(f"since the pause: {len(lost)} requests unanswered, {len(has_run)} of them were run")


f.main(__file__, play)
