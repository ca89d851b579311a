"""Stand-ins for the platform, servers and clients, and the processes under test.

Everything runs on loopback addresses. The processes are started with the commands of
deploy/system.toml and the settings templates of deploy/. The stand-ins follow
../given/kit/more/system/PROTOCOL.md.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEAD = struct.Struct(">IIIIBBHHH4s4s")
RST, ACK, SYN, FIN, BOUNCED = 1, 2, 4, 8, 64
KEY = os.urandom(16)
WINDOW = 76_800
MASK = 0xFFFFFFFF

DATA, READY, CONTROL, OUTBOUND, APP, PEER, METRICS, STORE = range(23_110, 23_118)

# Figures of ../given/kit/more/system/sites/amvs-lb.toml.
HEARTBEAT_MS = 770
STABLE_MS = 4_000
DRAIN_MS = 3_000
CONFIG_APPLY_MS = 3_000
GRACE_S = 6.0
RESTART_S = 0.75
ZONES = ["bole", "arada", "kirkos"]


def ip_bytes(ip):
    return socket.inet_aton(ip)


def checksum(seq, ack, flags, length, dport, sport, dst, src, data):
    fields = HEAD.pack(0, 0, seq, ack, flags & ~BOUNCED, 0, length, dport, sport, dst, src)
    return int.from_bytes(hashlib.blake2s(fields + data, key=KEY, digest_size=4).digest(), "big")


def encode(src, sport, dst, dport, flags, seq, ack, data=b""):
    s, d = ip_bytes(src), ip_bytes(dst)
    total = checksum(seq, ack, flags, len(data), dport, sport, d, s, data)
    return HEAD.pack(0, total, seq, ack, flags, 0, len(data), dport, sport, d, s) + data


class Packet:
    def __init__(self, raw):
        (self.echo, self.sum, self.seq, self.ack, self.flags, self.pad, self.len,
         self.dport, self.sport, dst, src) = HEAD.unpack_from(raw)
        self.data = raw[HEAD.size:]
        self.dst, self.src = socket.inet_ntoa(dst), socket.inet_ntoa(src)
        self.is_whole = self.len == len(self.data) and self.sum == checksum(
            self.seq, self.ack, self.flags, self.len, self.dport, self.sport, dst, src, self.data)


def distance(a, b):
    d = (a - b) & MASK
    return min(d, (-d) & MASK)


def is_after(a, b):
    return 0 < ((a - b) & MASK) < 1 << 31


class Record:
    """Lines of record.txt, in order, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def datagram_received(self, data, addr):
        self.on_packet(data, addr)


async def bind_udp(address, on_packet):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(on_packet), local_addr=address)
    return transport


async def http_call(address, method, path, body="", limit=1.0):
    """Sends a request on a new connection; returns the status, or None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            data = body.encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n"
                          f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n").encode() + data)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self):
        self.rev = 1
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self, address):
        self.server = await asyncio.start_server(self.serve, *address)

    def put(self, kind, name, spec):
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.rev += 1
        meta = {"name": name, "rev": self.rev, "created": 1, "finalizers": [], "deleting": False}
        new = {"meta": meta, "spec": spec, "status": None}
        self.objects[(kind, name)] = new
        self.note(kind, new, False)
        return new

    def note(self, kind, obj, deleted):
        self.history.append((self.rev, kind, {"object": obj, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split()
                length = 0
                while (header := await reader.readline()) not in (b"\r\n", b""):
                    name, _, value = header.decode().partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                await asyncio.sleep(0.004)
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.strip("/").split("/")
        kind, name = parts[1], parts[2] if len(parts) > 2 else None
        if method == "GET" and name is None:
            if "watch" in query:
                start = int(query["watch"])
                end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
                while True:
                    events = [e for rev, k, e in self.history if k == kind and rev > start]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "storeRevision": self.rev}
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
            items = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            return 200, {"items": items, "hasMore": False, "storeRevision": self.rev}
        if method == "GET":
            obj = self.objects.get((kind, name))
            return (200, obj) if obj else (404, {})
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["meta"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[(kind, name)]
            return 200, self.put(kind, name, sent.get("spec"))
        obj = self.objects.get((kind, name))
        if obj is None:
            return 404, {}
        rev = sent.get("meta", {}).get("rev", query.get("rev"))
        if rev is not None and int(rev) != obj["meta"]["rev"]:
            return 409, obj
        if method == "PUT":
            return 200, self.put(kind, name, sent.get("spec"))
        del self.objects[(kind, name)]
        self.rev += 1
        self.note(kind, obj, True)
        return 200, obj


def render(text, fields):
    """Fills in a settings template as DEPLOY.md says."""

    def find(name, scopes):
        if name == ".":
            return scopes[-1]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                else:
                    break
            else:
                return value
        return None

    def fill(text, scopes, is_last):
        out, at = [], 0
        pattern = re.compile(r"\{\{([#^]?)([^}]*)\}\}")
        while m := pattern.search(text, at):
            out.append(text[at:m.start()])
            mark, name = m.group(1), m.group(2)
            at = m.end()
            if mark:
                close = "{{/" + name + "}}"
                end = text.index(close, at)
                inner, at = text[at:end], end + len(close)
                value = find(name, scopes)
                if mark == "^":
                    out.append(fill(inner, scopes, True) if value is None else "")
                elif isinstance(value, list):
                    for i, item in enumerate(value):
                        out.append(fill(inner, scopes + [item], i == len(value) - 1))
                elif value is not None and value is not False:
                    out.append(fill(inner, scopes, True))
            elif name == ",":
                out.append("" if is_last else ",")
            else:
                value = find(name, scopes)
                out.append("" if value is None else str(value))
        return "".join(out) + text[at:]

    return fill(text, [fields], True)


class Process:
    """A process of the system, started with the command of the deploy file."""

    def __init__(self, fleet, role, name, fields):
        spec = fleet.deploy["roles"][role]
        self.name, self.fleet = name, fleet
        self.words = [os.path.join(ROOT, spec["run"].split()[0])] + spec["run"].split()[1:]
        self.env = dict(spec.get("env", {}))
        with open(os.path.join(ROOT, spec["template"]), encoding="utf-8") as file:
            text = render(file.read(), fields)
        self.settings = os.path.join(fleet.folder, f"{name}.jsonc")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        self.child = None
        # None writes the log to a file; otherwise a function that returns a descriptor.
        self.open_output = None

    def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env.update(self.env, HAWTHORNTIDE_SETTINGS=self.settings)
        if self.open_output is None:
            output = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        else:
            output = self.open_output()
        self.child = subprocess.Popen(self.words, env=env, cwd=ROOT, stdin=subprocess.DEVNULL,
                                      stdout=output, stderr=subprocess.STDOUT)
        if hasattr(output, "close"):
            output.close()
        self.fleet.record(f"start {self.name} pid {self.child.pid}")

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)
            self.fleet.record(f"signal {signal.Signals(number).name} to {self.name}")

    async def restart_as_planned(self):
        """SIGTERM, SIGKILL after the grace, and a start after a short delay."""
        self.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_S
        while self.child.poll() is None:
            if time.monotonic() > end:
                self.signal(signal.SIGKILL)
            await asyncio.sleep(0.01)
        self.fleet.record(f"ended {self.name}")
        await asyncio.sleep(RESTART_S)
        self.start()

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class ServerFlow:
    def __init__(self, caller_seq, own_seq):
        self.opened_by, self.own_seq = caller_seq, own_seq
        self.is_open = False
        self.expected = (caller_seq + 1) & MASK
        self.next = (own_seq + 1) & MASK
        self.acked = self.next
        self.unacked = []
        self.unacknowledged = 0


class Server:
    """An endpoint of a service, beside an agent."""

    def __init__(self, fleet, number, service, zone, slots=7, work_s=0.05):
        self.fleet, self.number, self.service, self.zone = fleet, number, service, zone
        self.ip = fleet.ip(2, number)
        self.slots, self.work_s = slots, work_s
        self.boot = 0
        self.is_up = False
        self.ran = {}

    @property
    def name(self):
        return f"server-{self.number}.{self.boot}"

    async def start(self, ident=None):
        self.boot += 1
        self.id = ident or f"i-{self.number}-{self.boot}"
        self.born = int(time.time() * 1000)
        self.flows, self.ended = {}, set()
        self.busy = asyncio.Semaphore(self.slots)
        self.state = "ready"
        self.drain_acked = None
        self.is_up = True
        self.up_since = time.monotonic()
        self.tasks = set()
        self.udp = await bind_udp((self.ip, APP), self.receive)
        self.tcp = await asyncio.start_server(self.health, self.ip, APP, reuse_address=True)
        self.spawn(self.ping_all())
        self.fleet.record(f"server up {self.name} id {self.id} born {self.born}")

    def crash(self):
        self.is_up = False
        self.udp.abort()
        self.tcp.close()
        for task in list(self.tasks):
            task.cancel()
        self.fleet.record(f"server down {self.name}")

    def drain(self):
        self.state = "draining"
        self.fleet.record(f"server draining {self.name}")

    def close_listener(self):
        self.tcp.close()
        self.fleet.record(f"server {self.name} accepts no further TCP connections")

    async def leave(self):
        """Serves on for the drain time, until its flows are closed, then deregisters and ends."""
        while self.drain_acked is None or time.monotonic() < self.drain_acked + DRAIN_MS / 1000:
            await asyncio.sleep(0.05)
        end = time.monotonic() + 5
        while any(flow.is_open for flow in self.flows.values()) and time.monotonic() < end:
            await asyncio.sleep(0.05)
        body = json.dumps({"born": self.born})
        status = await http_call((self.ip, CONTROL), "POST", f"/instances/{self.id}/deregister", body)
        self.fleet.record(f"deregistration of {self.name}: {status}")
        self.crash()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def health(self, reader, writer):
        try:
            await reader.readline()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        finally:
            writer.close()

    def ping_body(self, seq):
        return {"service": self.service, "addr": f"{self.ip}:{APP}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": seq, "born": self.born}

    async def ping_all(self):
        seq = 0
        while True:
            seq += 1
            body = json.dumps(self.ping_body(seq))
            status = await http_call((self.ip, CONTROL), "POST", f"/instances/{self.id}/heartbeat", body)
            if status == 200 and self.state == "draining" and self.drain_acked is None:
                self.drain_acked = time.monotonic()
                self.fleet.record(f"drain of {self.name} acknowledged")
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def send(self, raw):
        if self.is_up:
            self.udp.sendto(raw, (self.ip, OUTBOUND))

    def reply(self, key, flags, seq, ack, data=b""):
        caller, sport, dst, dport = key
        self.send(encode(dst, dport, caller, sport, flags, seq, ack, data))

    def bounce(self, raw):
        head = bytearray(raw)
        head[16] |= BOUNCED
        head[17] = 0
        self.send(bytes(head))

    def receive(self, raw, _):
        p = Packet(raw)
        key = (p.src, p.sport, p.dst, p.dport)
        if not p.is_whole:
            self.fleet.break_rule("UNASKED", f"{self.name} got a packet that its sender did not write so: {key}")
            return
        flow = self.flows.get(key)
        if p.flags & SYN:
            if p.flags & ACK:
                self.fleet.break_rule("UNASKED", f"{self.name} got a SYN+ACK")
                return
            if flow is None or flow.opened_by != p.seq:
                flow = ServerFlow(p.seq, random.getrandbits(32))
                self.flows[key] = flow
                self.ended.discard(key)
            if not flow.is_open:
                self.reply(key, SYN | ACK, flow.own_seq, flow.expected)
            return
        if flow is not None and not flow.is_open and not p.flags & RST:
            if p.ack == (flow.own_seq + 1) & MASK:
                flow.is_open = True
                self.fleet.on_open(self, key)
            else:
                flow = None
        if flow is None:
            if key in self.ended:
                if p.flags & RST:
                    return
                if p.data:
                    self.reply(key, RST, p.ack, 0)
                elif p.flags & FIN:
                    self.reply(key, ACK, p.ack, (p.seq + 1) & MASK)
                return
            self.fleet.on_bounce(self, key)
            self.bounce(raw)
            return
        if p.flags & RST:
            del self.flows[key]
            self.ended.add(key)
            return
        while flow.unacked and not is_after(flow.unacked[0][0] + len(flow.unacked[0][1]), p.ack):
            flow.unacked.pop(0)
        if p.data:
            flow.unacknowledged += 1
            is_new = p.seq == flow.expected
            if is_new:
                flow.expected = (flow.expected + len(p.data)) & MASK
                self.spawn(self.work(key, flow, p.data))
            # Every second packet is acknowledged; a retransmission counts as one.
            if flow.unacknowledged >= 2:
                flow.unacknowledged = 0
                self.reply(key, ACK, flow.next, flow.expected)
        if p.flags & FIN:
            self.reply(key, ACK | FIN, flow.next, (flow.expected + 1) & MASK)
            del self.flows[key]
            self.ended.add(key)

    async def work(self, key, flow, request):
        ident = re.search(rb"X-Request-Id: (\S+)", request).group(1).decode()
        async with self.busy:
            self.fleet.on_run(self, key, ident)
            await asyncio.sleep(self.work_s() if callable(self.work_s) else self.work_s)
        is_last = self.state == "draining"
        body = f"{ident} by {self.id}".encode()
        answer = (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.id}\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body
        seq, flow.next = flow.next, (flow.next + len(answer)) & MASK
        flow.unacked.append((seq, answer))
        wait = 0.2
        flow.unacknowledged = 0
        for _ in range(9):
            self.reply(key, ACK | (FIN if is_last else 0), seq, flow.expected, answer)
            await asyncio.sleep(wait)
            if self.flows.get(key) is not flow or all(s != seq for s, _ in flow.unacked):
                return
            wait = min(wait * 2, 1.6)


class Client:
    """A requester with its own address."""

    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ip = fleet.ip(3, number)
        self.port = 1_024
        self.flows = {}

    async def start(self):
        self.udp = await bind_udp((self.ip, DATA), self.receive)

    def receive(self, raw, _):
        p = Packet(raw)
        flow = self.flows.get(p.dport)
        if flow is not None and (p.src, p.sport) == flow.service:
            flow.receive(p)

    async def run(self, service, pause_s=0.3, until=None):
        """Keeps a flow open and sends requests on it, one after the other."""
        while until is None or time.monotonic() < until:
            flow = Flow(self, service)
            if await flow.open():
                while flow.state == "open" and (until is None or time.monotonic() < until):
                    await flow.request()
                    await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
                flow.close()
            await asyncio.sleep(0.05)


class Flow:
    def __init__(self, client, service):
        client.port += 1
        self.client, self.service, self.port = client, service, client.port
        self.key = (client.ip, self.port, *service)
        self.fleet = client.fleet
        client.flows[self.port] = self
        self.state = "opening"
        self.iss = random.getrandbits(32)
        self.next = (self.iss + 1) & MASK
        self.acked = 0
        self.event = asyncio.Event()
        self.answer = None
        self.resets = 0

    def send(self, flags, seq, ack, data=b""):
        raw = encode(self.client.ip, self.port, *self.service, flags, seq, ack, data)
        if to := self.fleet.route(self.key):
            self.client.udp.sendto(raw, to)

    async def wait(self, seconds):
        self.event.clear()
        try:
            await asyncio.wait_for(self.event.wait(), max(seconds, 0.001))
        except asyncio.TimeoutError:
            pass

    async def open(self):
        start = time.monotonic()
        for attempt, until in enumerate((0.2, 0.6, 1.4)):
            self.send(SYN, self.iss, attempt)
            while self.state == "opening" and time.monotonic() < start + until:
                await self.wait(start + until - time.monotonic())
            if self.state != "opening":
                break
        if self.state == "open":
            self.send(ACK, self.next, self.acked)
            return True
        self.state = "ended"
        return False

    def receive(self, p):
        if p.flags & RST:
            is_own = p.sum != 0
            if not is_own and p.data:
                self.fleet.break_rule("MIXED", f"client got a reset with data on {self.key}")
            is_near = distance(p.seq, self.acked) <= WINDOW
            self.fleet.on_reset(self, is_own, is_near, p)
            if self.state == "opening" or is_near:
                self.state = "ended"
                self.event.set()
            return
        if not p.is_whole:
            self.fleet.break_rule("MIXED", f"client got a packet that its sender did not write so on {self.key}")
            return
        if p.flags & SYN and p.flags & ACK:
            if self.state == "opening" and p.ack == self.next:
                self.acked = (p.seq + 1) & MASK
                self.state = "open"
                self.event.set()
            return
        if self.state != "open":
            return
        if p.data:
            if p.seq == self.acked:
                self.acked = (self.acked + len(p.data)) & MASK
                self.answer = p.data
                self.event.set()
            self.send(ACK, self.next, self.acked)
        if p.flags & FIN:
            self.send(ACK | FIN, self.next, self.acked)
            self.state = "ended"
            self.event.set()

    async def request(self, budget_s=5.0):
        ident = self.fleet.next_ident()
        data = (f"POST {self.service[1]} HTTP/1.1\r\nX-Request-Id: {ident}\r\n"
                f"Content-Length: 0\r\n\r\n").encode()
        self.answer = None
        self.ident = ident
        self.fleet.on_sent(self, ident)
        seq, self.next = self.next, (self.next + len(data)) & MASK
        end, wait = time.monotonic() + budget_s, 0.2
        while self.state == "open" and self.answer is None and time.monotonic() < end:
            self.send(ACK, seq, self.acked, data)
            until = min(end, time.monotonic() + wait)
            wait = min(wait * 2, 1.6)
            while self.state == "open" and self.answer is None and time.monotonic() < until:
                await self.wait(until - time.monotonic())
        if self.answer is None:
            self.fleet.on_unanswered(self, ident, "reset" if self.state == "ended" else "no answer in time")
            self.state = "ended"
            return False
        if ident.encode() not in self.answer or b"X-Server-Stamp" not in self.answer:
            self.fleet.break_rule("MIXED", f"{self.key}: the answer to {ident} belongs to another request")
        self.fleet.on_answered(self, ident)
        return True

    def close(self):
        if self.state == "open":
            self.send(ACK | FIN, self.next, self.acked)
        self.state = "ended"
        asyncio.get_running_loop().call_later(2, self.client.flows.pop, self.port, None)


class Fleet:
    """A small deployment: balancers, agents with their servers, the store, the router and clients."""

    def __init__(self, folder, case, balancers=3, agents=6):
        self.folder, self.case = folder, case
        self.record = Record(os.path.join(case, "record.txt"))
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.deploy = tomllib.load(file)
        self.net = self.free_net()
        self.broken, self.sent, self.answered, self.unanswered = [], {}, {}, {}
        self.runs, self.resets = {}, []
        self.balancers, self.agents, self.servers, self.clients = [], [], [], []
        self.ready = {}
        self.owner = {}
        self.bounces = []
        self.service = (self.ip(9, 1), 443)
        self.counts = (balancers, agents)
        self.store = Store()
        self.version = 3
        self.idents = 0

    def next_ident(self):
        self.idents += 1
        return f"r{self.idents:06d}"

    def free_net(self):
        """Returns a second octet whose addresses nobody uses, and keeps it for this run."""
        for net in random.sample(range(30, 90), 60):
            try:
                self.guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.guard.bind((f"127.{net}.250.1", DATA))
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    for port in (DATA, CONTROL, STORE, PEER):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((f"127.{net}.1.1", port))
                return net
            except OSError:
                self.guard.close()
        raise OSError("no free loopback addresses")

    def ip(self, third, fourth):
        return f"127.{self.net}.{third}.{fourth}"

    def fields(self, ip, zone, listen, more):
        seeds = [f"{self.ip(1, n)}:{CONTROL}" for n in range(1, min(3, self.counts[0]) + 1)]
        return {
            "ip": ip, "zone": zone, "region": "addis", "internalPorts": [PEER, METRICS], "seeds": seeds,
            "heartbeatMs": HEARTBEAT_MS, "hash": "mod", "deployMode": "agent", "listen": listen,
            "bounds": {"stableMs": STABLE_MS, "drainMs": DRAIN_MS, "configApplyMs": CONFIG_APPLY_MS, "flowTtlS": 60},
            "platform": {"addr": f"{self.ip(4, 1)}:{STORE}"}, **more,
        }

    def configure(self, routes):
        """Writes a version of the config; routes are pairs of an address and a service."""
        self.version += 2
        self.store.put("config", "main", {
            "version": self.version,
            "routes": [{"host": host, "pathPrefix": f"/{port}/", "service": service, "type": "unsafe",
                        "timeoutMs": 5000, "sloMs": 300, "priority": 1, "attempts": 1}
                       for (host, port), service in routes],
            "services": [{"name": name} for name in sorted({service for _, service in routes})],
            "limits": {"idleTimeoutMs": 60000},
        })

    async def start(self, services=("sessions",)):
        await self.store.start((self.ip(4, 1), STORE))
        self.configure([(self.service, services[0])])
        for n in range(1, self.counts[0] + 1):
            ip = self.ip(1, n)
            listen = {"dataAddr": f"{ip}:{DATA}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}"}
            fields = self.fields(ip, ZONES[(n - 1) % 3], listen, {})
            self.balancers.append(Process(self, "balancer", f"edge-{n}", fields))
        for n in range(1, self.counts[1] + 1):
            ip = self.ip(2, n)
            zone, service = ZONES[(n - 1) % 3], services[(n - 1) % len(services)]
            listen = {"dataAddr": f"{ip}:{DATA}", "ready": f"{ip}:{READY}", "control": f"{ip}:{CONTROL}",
                      "outbound": f"{ip}:{OUTBOUND}"}
            fields = self.fields(ip, zone, listen, {"service": service, "app": f"{ip}:{APP}"})
            self.agents.append(Process(self, "agent", f"side-{n}", fields))
            self.servers.append(Server(self, n, service, zone))

    async def launch(self):
        for process in self.balancers + self.agents:
            process.start()
        for server in self.servers:
            await server.start()
        self.poller = asyncio.ensure_future(self.poll_ready())
        end = time.monotonic() + 15
        while sum(1 for n in self.ready.values() if n < 2) < self.counts[0]:
            if time.monotonic() > end:
                raise RuntimeError("the balancers do not get ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.5)

    async def poll_ready(self):
        async def check(n):
            status = await http_call((self.ip(1, n), READY), "GET", "/ready", "", 0.5)
            self.ready[n] = 0 if status == 200 else self.ready.get(n, 2) + 1

        while True:
            for n in range(1, self.counts[0] + 1):
                asyncio.ensure_future(check(n))
            await asyncio.sleep(0.5)

    def route(self, key):
        """Hashes the addresses and ports over the balancers in rotation, as `mod` says."""
        ready = [n for n in sorted(self.ready) if self.ready[n] < 2] or sorted(self.ready)
        if not ready:
            return None
        digest = hashlib.blake2s(repr(key).encode(), digest_size=8).digest()
        return (self.ip(1, ready[int.from_bytes(digest, "big") % len(ready)]), DATA)

    async def add_clients(self, count, first=1, **options):
        tasks = []
        for n in range(first, first + count):
            client = Client(self, n)
            await client.start()
            self.clients.append(client)
            tasks.append(asyncio.ensure_future(client.run(self.service, **options)))
        return tasks

    def on_open(self, server, key):
        self.owner[key] = (server, server.boot)
        self.record(f"open {key[0]}:{key[1]} at {server.name}")

    def on_bounce(self, server, key):
        self.bounces.append((time.monotonic(), server, key))

    def on_run(self, server, key, ident):
        self.runs.setdefault(ident, []).append(server.name)
        self.record(f"run {ident} at {server.name}")
        if ident not in self.sent:
            self.break_rule("UNASKED", f"{server.name} runs {ident}, which nobody sent")
        if len(self.runs[ident]) > 1:
            self.break_rule("twice", f"{ident} ran at {self.runs[ident]}")

    def on_sent(self, flow, ident):
        self.sent[ident] = time.monotonic()
        self.record(f"sent {ident} on {flow.key[0]}:{flow.key[1]}")

    def on_answered(self, flow, ident):
        self.answered[ident] = time.monotonic()
        self.record(f"answered {ident}")

    def on_unanswered(self, flow, ident, why):
        self.unanswered[ident] = why
        self.record(f"unanswered {ident}: {why}; run at {self.runs.get(ident, [])}")

    def live_owner(self, key):
        """Returns the server that holds the flow open, if its boot is the one that opened it."""
        owner = self.owner.get(key)
        if owner is None:
            return None
        server, boot = owner
        if server.is_up and server.boot == boot and key in server.flows and server.flows[key].is_open:
            return server
        return None

    def on_reset(self, flow, is_own, is_near, p):
        holder = self.live_owner(flow.key)
        who = "its server" if is_own else "the system"
        place = holder.name if holder else "no live server"
        self.record(f"reset of {flow.key[0]}:{flow.key[1]} by {who}, flow open at {place}, "
                    f"seq {'inside' if is_near else 'outside'} the window")
        self.resets.append((time.monotonic(), flow.key, is_own, is_near, holder, flow.state))

    def break_rule(self, rule, text):
        self.broken.append((rule, text))
        self.record(f"BROKEN {rule}: {text}")

    def end(self):
        for process in self.balancers + self.agents:
            process.end()


def main(case_file, play, **options):
    """Runs `play(fleet, has_trouble)` and exits with 1 if it found a broken rule, with 0 if not."""
    case = os.path.dirname(os.path.abspath(case_file))
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        folder = tempfile.mkdtemp(prefix="case-")
        fleet, code = None, 2
        try:
            fleet = Fleet(folder, case, **options)
            task = asyncio.current_task()
            for number in (signal.SIGTERM, signal.SIGINT):
                asyncio.get_running_loop().add_signal_handler(number, task.cancel)
            fleet.record(f"trouble {'on' if has_trouble else 'off'}")
            async with asyncio.timeout(115):
                await play(fleet, has_trouble)
            code = 1 if fleet.broken else 0
            fleet.record(f"sent {len(fleet.sent)}, answered {len(fleet.answered)}, "
                         f"unanswered {len(fleet.unanswered)}, rules broken {len(fleet.broken)}")
        except BaseException:  # noqa: BLE001
            print(f"the case could not run: {traceback.format_exc()}", flush=True)
        finally:
            if fleet is not None:
                fleet.end()
            if keep := os.environ.get("KEEP"):
                shutil.copytree(folder, keep, dirs_exist_ok=True)
            shutil.rmtree(folder, ignore_errors=True)
            print({0: "held", 1: "broken", 2: "not run"}[code], flush=True)
            # Tasks of clients and servers are left as they are.
            os._exit(code)

    asyncio.run(run())
