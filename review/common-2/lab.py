"""Stand-ins for the cases of REPORT-2.md: app servers, discovery's agent, clients, and the start of real nodes.

Everything runs in one asyncio loop on loopback addresses. The stand-ins follow the protocol page. Times are those of
time.monotonic, in seconds.
"""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
now = time.monotonic


def unusable(reason):
    print("case could not run:", reason)
    sys.exit(2)


class Record:
    """The events of a run, written to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def add(self, *words):
        self.file.write("%9.4f %s\n" % (now() - self.start, " ".join(str(w) for w in words)))

    def at(self, moment):
        return "%.4f" % (moment - self.start)

    def close(self):
        self.file.close()


class LagMeter:
    """Measures how late this process's loop runs, so that a late loop is not taken for a late node."""

    def __init__(self):
        self.worst = 0.0

    async def run(self):
        while True:
            due = now() + 0.01
            await asyncio.sleep(0.01)
            self.worst = max(self.worst, now() - due)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class AppServer:
    """An app server: it answers 200 with a body of its own for each request, after a time of work."""

    def __init__(self, record, uid, work=0.02, zone="hall-a", cell=0):
        self.record, self.uid, self.work, self.zone, self.cell = record, uid, work, zone, cell
        self.arrivals = []  # (time of the first byte, id)
        self.state, self.boot_ms = "in_service", 0
        self.hang = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {"uid": self.uid, "endpoint": "127.0.0.1:%d" % self.port, "az": self.zone, "model": "gen2",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        try:
            while True:
                first = await reader.readexactly(1)
                arrived = now()
                line, fields = await read_head(reader)
                line = first.decode() + line
                await reader.readexactly(int(fields.get("content-length", "0")))
                call = fields.get("x-call-id", "")
                self.arrivals.append((arrived, call))
                self.record.add("server", self.uid, self.state, "got", call, "first byte at", self.record.at(arrived))
                await asyncio.sleep(self.work)
                if self.hang:
                    await asyncio.sleep(3600)
                body = ("%s by %s" % (call, self.uid)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Agent:
    """Discovery's agent: it answers a call at once, or a watch as soon as there is something newer. delay is the time by
    which each answer comes later."""

    def __init__(self, record, servers, delay=0.0):
        self.record, self.servers, self.delay = record, {s.uid: s for s in servers}, delay
        self.rev = 1
        self.states = {s.uid: s.state for s in servers}
        self.on_call = None  # called with the hold of each call
        self.changed = {s.uid: 1 for s in servers}
        self.told = {}      # uid -> time at which the last change was written to the node
        self.had = {}       # uid -> time at which the agent had it
        self.calls = []     # [start, hold] of each call
        self.news = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def change(self, server, state):
        self.states[server.uid] = state
        self.rev += 1
        self.changed[server.uid] = self.rev
        self.had[server.uid] = now()
        self.record.add("discovery has", server.uid, state, "rev", self.rev)
        self.news.set()
        self.news = asyncio.Event()

    def list(self, since):
        chosen = [dict(s.entry(), state=self.states[s.uid]) for s in self.servers.values() if since is None or self.changed[s.uid] > since]
        return {"rev": self.rev, "all": since is None, "targets": chosen}

    async def serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                began = now()
                path = line.split(" ")[1]
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if "=" in p)
                since, hold = None, 0.0
                if "from" in query:
                    since, hold = int(query["from"]), int(query.get("hold_ms", "0")) / 1000
                self.record.add("discovery call from", since, "hold", hold)
                if self.on_call:
                    self.on_call(hold)
                until = began + hold
                while since is not None and self.rev <= since and now() < until:
                    try:
                        await asyncio.wait_for(self.news.wait(), until - now())
                    except asyncio.TimeoutError:
                        break
                if self.delay:
                    await asyncio.sleep(self.delay)
                answer = self.list(since)
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                closing = reader.at_eof()
                for target in answer["targets"]:
                    if target["state"] != "in_service" and not closing:
                        self.told.setdefault(target["uid"], now())
                self.record.add("discovery answered", "after %.3f s" % (now() - began), "rev", answer["rev"], len(answer["targets"]), "entries",
                                "on a connection that the node has closed" if closing else "")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Client:
    """One client connection. ask sends one request and returns (status, body), or None without a whole answer."""

    def __init__(self, address):
        self.address, self.reader, self.writer = address, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, record, call, path, budget_ms, plan, body=None, weight="units=1,spread=1,first=0", wait=None):
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            method = "GET" if body is None else "POST"
            text = "%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Tariff: %s\r\nX-Budget-Ms: %d\r\nX-Weight: %s\r\n" % (
                method, path, call, plan, budget_ms, weight)
            if body is not None:
                text += "Content-Length: %d\r\n" % len(body)
            record.add("client sends", call, path)
            self.writer.write(text.encode() + b"\r\n" + (body or b""))
            answer = await asyncio.wait_for(self.answer(), wait or budget_ms / 1000 + 0.55)
            record.add("client got", call, answer[0])
            return answer
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as failure:
            record.add("client got nothing", call, type(failure).__name__)
            self.close()
            return None

    async def answer(self):
        line, fields = await read_head(self.reader)
        body = await self.reader.readexactly(int(fields.get("content-length", "0")))
        if fields.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), body


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


class Node:
    """A real edge node, started as `run` of deploy/balancer.toml has it."""

    def __init__(self, record, folder, name, config):
        self.record, self.folder, self.name, self.config = record, folder, name, config
        self.process = None

    @property
    def address(self):
        host, port = self.config["listen"].rsplit(":", 1)
        return host, int(port)

    def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w") as f:
            json.dump(self.config, f)
        env = dict(os.environ, GW_CONFIG=path)
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", "exec bin/cherrygap"], cwd=ROOT, env=env, stderr=self.log, stdout=self.log)
        self.record.add("node", self.name, "started")

    async def ready(self):
        for _ in range(300):
            answer = None
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /healthz HTTP/1.1\r\nHost: node\r\n\r\n")
                answer = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            if answer and " 200" in answer[0]:
                self.record.add("node", self.name, "ready")
                return
            if self.process.poll() is not None:
                unusable("node ended at its start")
            await asyncio.sleep(0.05)
        unusable("node not ready")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.add("node", self.name, signal.Signals(number).name)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


def settings(classes, plans, **other):
    base = {
        "limits": {"attempts_cap": 4, "cancel": True, "conn_idle": 30000000, "connect_timeout": 250000, "retry_after": True,
                   "max_retry_after": 2000000, "peers": False, "probes": False, "second_copies": False},
        "registry_mode": "automatic", "replicas_of_me": 1, "slot_no": 0, "tick": 2000,
        "safety": {"answer_slack": 16000, "ask_within": 10000000, "cold": 14000000, "cold_from": 0.15, "drain_grace": 250000,
                   "fall_multiple": 2.5, "tip_after": 1000000},
        "specifics": {"largest": 6}, "services": classes, "tiers_of_service": plans,
    }
    for key, value in other.items():
        if isinstance(value, dict):
            base[key].update(value)
        else:
            base[key] = value
    return base


def config(name, agent, known, set_, **other):
    out = {"name": name, "listen": "127.0.0.1:%d" % free_port(), "discovery": "127.0.0.1:%d" % agent.port, "seed": "8c1f30d27a5be964",
           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": set_}
    out.update(other)
    return out


NEXT_LEG = {"name": "next-leg", "semantics": "idempotent", "group": "all", "slo": 250000, "deadline": 600000, "window": 3000000,
            "worth": 1, "late_value": 0.1, "stream": False}
STOP_UPDATE = {"name": "stop-update", "semantics": "deduplicated", "group": "cell", "slo": 750000, "deadline": 3000000, "window": 3000000,
               "worth": 5, "late_value": 0.1, "stream": False}
DOCK_BOOKING = {"name": "dock-booking", "semantics": "at_most_once", "group": "all", "slo": 800000, "deadline": 2000000, "window": 3000000,
                "worth": 5, "late_value": 0.1, "stream": False}
PLAN = {"name": "flotte", "units_per_s": 100000.0, "depth": 100000.0, "hard_rate": 0.0, "never_over_depth": 0.0, "cap_slack": 0.0,
        "max_out": 0, "value_factor": 1.6, "beyond_costs": 0.8, "beyond_earns": 0.0}


def run(case_folder, main, limit=115):
    """Runs main(record, folder, nodes) and exits with its result: 1 broken, 0 held, 2 not run. The process ends without waiting for
    the stand-ins' open connections."""
    record, nodes, code = Record(case_folder), [], 2
    with tempfile.TemporaryDirectory() as folder:
        loop = asyncio.new_event_loop()
        try:
            code = loop.run_until_complete(asyncio.wait_for(main(record, folder, nodes), limit))
        except asyncio.TimeoutError:
            print("case could not run: out of time")
        except SystemExit:
            pass
        except BaseException:
            traceback.print_exc()
        finally:
            for node in nodes:
                node.end()
            if os.environ.get("KEEP"):
                for node in nodes:
                    shutil.copy(os.path.join(folder, node.name + ".log"), os.environ["KEEP"])
            record.close()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
