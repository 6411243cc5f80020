"""Case 2: behind a 1xx answer that comes ahead, a client gets the answer made for another client's request."""

import os
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
sys.dont_write_bytecode = True

from standins import (  # noqa: E402
    TROUBLE, AppServer, CaseError, Discovery, Node, answer_of, connect, read_response, request, run_case, settings_of, target_of,
)

NODES, SERVERS, CLIENTS = 2, 6, 12  # clients of each node
SECONDS = 25
SHARE = 0.1  # of the answers have a 1xx answer ahead
INTERIM = tuple(int(status) for status in os.environ.get("STATUSES", "100,101,102,103").split(","))
NAMES = {100: "Continue", 101: "Switching Protocols", 102: "Processing", 103: "Early Hints"}


class InterimServer(AppServer):
    """An app server that sends a 1xx answer ahead of some of its answers, once it has read the request."""

    def __init__(self, name, record, seed):
        self.random = random.Random(seed)
        self.interim = {}  # status of the 1xx answer by request id
        super().__init__(name, record)

    def answer(self, conn, line, headers, body):
        request_id = headers.get("x-call-id")
        with self.lock:
            self.service_s = self.random.uniform(0.10, 0.18)
            service_s, status = self.service_s, 0
            if TROUBLE and request_id and self.random.random() < SHARE:
                status = self.interim[request_id] = self.random.choice(INTERIM)
        if status:
            self.record.line("%s  sends %d ahead of its answer to %s" % (self.name, status, request_id))
            conn.sendall(("HTTP/1.1 %d %s\r\n\r\n" % (status, NAMES[status])).encode())
        return super().answer(conn, line, headers, body)


class Client(threading.Thread):
    """A usual client: it sends one request after another on a connection that it keeps."""

    def __init__(self, number, node, record, until):
        super().__init__(daemon=True)
        self.number, self.node, self.record, self.until = number, node, record, until
        self.random = random.Random(7000 + number)
        self.statuses, self.foreign = {}, []

    def run(self):
        conn, sent = None, 0
        while time.monotonic() < self.until:
            request_id, sent = "%08x%08x" % (0xa0000000 + self.number, sent), sent + 1
            name = self.random.choice(("seat-lookup", "seat-purchase"))
            body = b"seat %d" % sent if name == "seat-purchase" else b""
            try:
                conn = conn or connect(self.node.address, 9)
                conn.sendall(request(name, request_id, 4000, body, customer=0x1000 + self.number))
                got = read_response(conn)
            except OSError as error:
                got = None
                self.record.line("client %d  %s: %r" % (self.number, request_id, error))
            if got is None:
                conn = None
                continue
            status, answer, _ = got
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.line("client %d  %s %s: %d %r" % (self.number, name, request_id, status, answer))
            if status == 200 and answer != answer_of(request_id):
                self.foreign.append((name, request_id, answer))
            time.sleep(self.random.uniform(0.02, 0.08))


def case(record, nodes, folder):
    servers = [InterimServer("server %d" % i, record, 100 + i) for i in range(SERVERS)]
    targets = [target_of(server, i, ("north", "stage", "foyer")[i % 3]) for i, server in enumerate(servers)]
    for number in range(NODES):
        nodes.append(Node(folder, number, Discovery(list(targets)).address, settings_of(NODES, number), record))
        nodes[-1].start()
    until = time.monotonic() + SECONDS
    clients = [Client(i, nodes[i % NODES], record, until) for i in range(CLIENTS * NODES)]
    for client in clients:
        client.start()
    for client in clients:
        client.join(SECONDS + 20)
    statuses, foreign, ahead = {}, [], {}
    for client in clients:
        foreign += client.foreign
        for status, count in client.statuses.items():
            statuses[status] = statuses.get(status, 0) + count
    for server in servers:
        for request_id, status in server.interim.items():
            ahead[request_id] = status
    for name, request_id, answer in foreign:
        other = answer.decode("latin-1").removeprefix("done ")
        record.line("BROKEN  the client of %s %s got the answer made for %s, ahead of which came %s" % (
            name, request_id, other, ahead.get(other, "nothing")))
    counts = {status: sum(1 for s in ahead.values() if s == status) for status in INTERIM}
    record.line("answers by status: %s; 1xx answers sent ahead: %s" % (statuses, counts))
    if statuses.get(200, 0) < 100:
        raise CaseError("only %s requests were served" % statuses.get(200, 0))
    return not foreign, "%d of %d answers with status 200 were made for another request" % (len(foreign), statuses[200])


run_case(HERE, case)
