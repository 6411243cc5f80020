"""Stand-ins and helpers of the review's cases: one small deployment on loopback, on the real clock.

The edge nodes are real: they are started by the command `run` of deploy/balancer.toml. App servers, discovery's agent and the
clients are threads of this process that follow the operators' protocol page. Nothing outside loopback is used, and the files
of a run are in a temporary folder.
"""

import ctypes
import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        with self.lock:
            self.file.write("%8.3f %s\n" % (time.monotonic() - self.started, text))
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def free_port(host="127.0.0.1"):
    """Returns a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def end_with_parent():
    """Makes the kernel end a child process when the thread that started it ends: nodes are started by the main thread."""
    ctypes.CDLL(None, use_errno=True).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def read_head(conn, buffered):
    """Reads up to the end of a message's head. Returns the head and the bytes behind it, or None at the connection's end."""
    while b"\r\n\r\n" not in buffered:
        part = conn.recv(65536)
        if not part:
            return None, buffered
        buffered += part
    head, rest = buffered.split(b"\r\n\r\n", 1)
    return head.decode("latin-1"), rest


def headers_of(head):
    """Returns the first line of a head and its headers, with names in lower case."""
    lines = head.split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def read_body(conn, headers, rest):
    """Reads a body with a Content-Length. Returns the body and the bytes behind it, or None at the connection's end."""
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        part = conn.recv(65536)
        if not part:
            return None, rest
        rest += part
    return rest[:length], rest[length:]


class Listener:
    """A TCP listener with a thread for each connection."""

    def __init__(self, host="127.0.0.1"):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((host, 0))
        self.socket.listen(512)
        self.address = "%s:%d" % self.socket.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve_quietly, args=(conn,), daemon=True).start()

    def serve_quietly(self, conn):
        try:
            self.serve(conn)
        except OSError:
            pass
        finally:
            conn.close()

    def serve(self, conn):
        raise NotImplementedError


class AppServer(Listener):
    """An app server: it runs each request that came whole and answers 200 with a body made for the request's id."""

    def __init__(self, name, record, service_s=0.02):
        self.name, self.record, self.service_s = name, record, service_s
        self.runs = []  # ids of the requests that were run, in order
        self.lock = threading.Lock()
        super().__init__()

    def serve(self, conn):
        rest = b""
        while True:
            head, rest = read_head(conn, rest)
            if head is None:
                return
            line, headers = headers_of(head)
            body, rest = read_body(conn, headers, rest)
            if body is None:
                return
            if not self.answer(conn, line, headers, body):
                return

    def answer(self, conn, line, headers, body):
        """Runs one request and answers it. Returns False to end the connection."""
        request_id = headers.get("x-call-id")
        if not request_id:
            self.record.line("%s  got %r without an id" % (self.name, line))
            conn.sendall(response(404, b""))
            return True
        with self.lock:
            self.runs.append(request_id)
        self.record.line("%s  runs %s: %s, body %r" % (self.name, request_id, line, body[:80]))
        time.sleep(self.service_s)
        conn.sendall(response(200, answer_of(request_id)))
        return True


def answer_of(request_id):
    """The body that an app server makes for a request."""
    return ("done " + request_id).encode()


def response(status, body, headers=""):
    reason = {200: "OK", 404: "Not Found", 500: "Internal Server Error", 503: "Service Unavailable"}[status]
    return ("HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n" % (status, reason, len(body), headers)).encode() + body


class Discovery(Listener):
    """Discovery's agent of one node. It answers calls for the whole list and watches."""

    def __init__(self, targets):
        self.lock = threading.Condition()
        self.revision, self.targets, self.changes = 1, targets, []
        super().__init__()

    def publish(self, target):
        """Makes a changed entry known to all watches."""
        with self.lock:
            self.revision += 1
            self.changes.append((self.revision, target))
            self.targets = [t for t in self.targets if t["uid"] != target["uid"]]
            if target["state"] != "terminated":
                self.targets.append(target)
            self.lock.notify_all()

    def serve(self, conn):
        rest = b""
        while True:
            head, rest = read_head(conn, rest)
            if head is None:
                return
            query = dict(re.findall(r"[?&](\w+)=(\d+)", head.split("\r\n")[0]))
            conn.sendall(response(200, json.dumps(self.reply(query)).encode(), "Content-Type: application/json\r\n"))

    def reply(self, query):
        with self.lock:
            if "from" not in query:
                return {"rev": self.revision, "all": True, "targets": list(self.targets)}
            known = int(query["from"])
            self.lock.wait_for(lambda: self.revision > known, int(query.get("hold_ms", "0")) / 1000)
            changed = [target for revision, target in self.changes if revision > known]
            return {"rev": self.revision, "all": False, "targets": changed}


def target_of(server, number, zone="north", state="in_service"):
    return {"uid": "s-%08x" % (0x5be20000 + number), "endpoint": server.address, "az": zone, "model": "three-core",
            "pod_group": 1 + number // 4, "state": state, "capacity_hint": 1.0, "boot_ms": 0}


def service(name, semantics, aim_s, deadline_s, group="all", window_s=5.0):
    return {"name": name, "semantics": semantics, "slo": int(aim_s * 1e6), "deadline": int(deadline_s * 1e6), "group": group,
            "window": int(window_s * 1e6), "worth": 1, "late_value": 0.1, "stream": False}


SERVICES = [service("seat-lookup", "idempotent", 1.5, 4.0), service("seat-purchase", "at_most_once", 2.0, 7.5)]


def settings_of(nodes, number, services=None, limits=None, **other):
    """The settings of a node, in the platform's form."""
    platform = {
        "slot_no": number, "replicas_of_me": nodes, "registry_mode": "automatic", "tick": 2000, "zone": 0,
        "localities": ["north", "stage", "foyer"], "services": services or SERVICES,
        "tiers_of_service": [{"name": "standard", "units_per_s": 1000000.0, "depth": 1000000.0, "value_factor": 1.2}],
        "limits": {"attempts_cap": 5, "cancel": True, "conn_idle": 15000000, "connect_timeout": 250000, "max_open": 20000,
                   "peers": True, "probes": True, "retry_after": True, "max_retry_after": 1000000, "second_copies": False},
        "safety": {"answer_slack": 50000, "ask_within": 10000000, "cold": 17000000, "cold_from": 0.18, "drain_grace": 500000,
                   "fall_multiple": 3.0, "tip_after": 2000000},
        "specifics": {"largest": 6, "peer_in_per_s": 100.0},
    }
    platform["limits"].update(limits or {})
    platform.update(other)
    return platform


class Node:
    """One edge node, started by the command `run` of the deploy file."""

    def __init__(self, folder, number, discovery, settings, record, extra=None, env=None):
        self.folder, self.number, self.record, self.env = folder, number, record, env or {}
        self.address = "127.0.0.1:%d" % free_port()
        self.path = os.path.join(folder, "node%d.json" % number)
        self.config = {
            "name": "n%d" % number, "listen": self.address, "discovery": discovery, "seed": "8c1f30d27a5be9%02x" % number,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 384}, "known": None, "settings": settings,
        }
        self.config.update(extra or {})
        self.process = None
        self.write_config()

    def write_config(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)

    def start(self, ready_s=10):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run\s*=\s*"(.*?)"', file.read(), re.MULTILINE).group(1)
        env = dict(os.environ, GW_CONFIG=self.path, **self.env)
        for name in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            env.pop(name, None)
        self.log = open(os.path.join(self.folder, "node%d.log" % self.number), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log,
                                        stderr=self.log, preexec_fn=end_with_parent)
        self.record.line("node %d  started as process %d at %s" % (self.number, self.process.pid, self.address))
        deadline = time.monotonic() + ready_s
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CaseError("node %d ended at its start with %s" % (self.number, self.process.returncode))
            try:
                if exchange(self.address, b"GET /healthz HTTP/1.1\r\nHost: edge\r\n\r\n", 1)[0] == 200:
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise CaseError("node %d is not ready" % self.number)

    def signal(self, number):
        self.record.line("node %d  gets %s" % (self.number, signal.Signals(number).name))
        self.process.send_signal(number)

    def stop(self, within_s=12):
        """Ends the process, with SIGTERM first."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.terminate()
        try:
            self.process.wait(within_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def connect(address, timeout_s=5):
    host, port = address.rsplit(":", 1)
    conn = socket.create_connection((host, int(port)), timeout_s)
    conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return conn


def read_response(conn, rest=b""):
    """Reads one response. Returns its status, its body and the bytes behind it, or None at the connection's end."""
    head, rest = read_head(conn, rest)
    if head is None:
        return None
    line, headers = headers_of(head)
    body, rest = read_body(conn, headers, rest)
    if body is None:
        return None
    return int(line.split()[1]), body, rest


def exchange(address, text, timeout_s):
    """Sends one request on a new connection and returns the status and the body of the response."""
    with connect(address, timeout_s) as conn:
        conn.sendall(text)
        got = read_response(conn)
        if got is None:
            raise OSError("closed without an answer")
        return got[0], got[1]


def request(name, request_id, budget_ms, body=b"", headers="", version="1.1", customer=0xb4d65521, spread=1, first=0, fit=True):
    """The text of a request: GET without a body, else POST. Without fit the caller states the body's length in headers."""
    method = "GET" if name == "seat-lookup" else "POST"
    length = "Content-Length: %d\r\n" % len(body) if method == "POST" and fit else ""
    return ("%s /%s/%016x HTTP/%s\r\nHost: api.internal\r\nX-Call-Id: %s\r\nX-Tariff: standard\r\nX-Budget-Ms: %d\r\n"
            "X-Weight: units=1,spread=%d,first=%d\r\n%s%s\r\n" % (
                method, name, customer, version, request_id, budget_ms, spread, first, length, headers)).encode() + body


def run_case(folder, case):
    """Runs a case, which returns whether the rule held and a line on the result, and exits with the case's code."""
    record = Record(folder)
    nodes = []
    code, text = NOT_RUN, ""
    try:
        if not os.path.exists(os.path.join(ROOT, "bin", "cherrygap")):
            raise CaseError("bin/cherrygap is missing: run the build of the deploy file first")
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            try:
                held, text = case(record, nodes, temporary)
                code = HELD if held else BROKEN
            finally:
                for node in nodes:
                    node.stop()
                    record.line("node %d  ended" % node.number)
    except (CaseError, OSError) as error:
        text = "the case could not run: %s" % error
    verdict = {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[code]
    record.line("RESULT %s (TROUBLE=%d): %s" % (verdict, TROUBLE, text))
    record.close()
    print("%s: %s" % (verdict, text))
    sys.stdout.flush()
    os._exit(code)
