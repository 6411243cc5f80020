"""Case 1: a request with both Content-Length and Transfer-Encoding is passed on, with another request hidden in its body."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
sys.dont_write_bytecode = True

from standins import (  # noqa: E402
    TROUBLE, AppServer, CaseError, Discovery, Node, connect, exchange, answer_of, read_response, request, run_case, settings_of,
    target_of,
)

ROUNDS = 3  # bad clients of each form
NODES, SERVERS = 2, 4

# The forms of a head with both headers. Each has the HTTP version, the headers, and whether the length ends the body before the
# hidden request ("short": the hidden request is in the chunked body) or behind it ("long": it is in the body by its length).
FORMS = {
    "HTTP/1.1 (control)": ("1.1", "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", "short"),
    "HTTP/1.0, keep-alive": ("1.0", "Connection: keep-alive\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n", "short"),
    "HTTP/1.1, space behind Transfer-Encoding": ("1.1", "Content-Length: %d\r\nTransfer-Encoding : chunked\r\n", "short"),
    "HTTP/1.1, space behind Content-Length": ("1.1", "Content-Length : %d\r\nTransfer-Encoding: chunked\r\n", "long"),
}


def bad_request(form, outer_id, hidden_id):
    """The bytes that a bad client sends as one request. Its body has the text of another request, which no client sends."""
    version, headers, length = FORMS[form]
    hidden = request("seat-purchase", hidden_id, 2000, b"seat 14")
    if not TROUBLE:  # the same request and body, with one length that fits
        return request("seat-purchase", outer_id, 2000, hidden, version=version)
    if length == "short":  # by its chunks the body is the hidden request; by its length it is the line of the first chunk's size
        body = b"%x\r\n" % len(hidden) + hidden + b"\r\n0\r\n\r\n"
        stated = body.index(b"\r\n") + 2
    else:  # by its length the body is an empty chunked body and the hidden request; by its chunks it ends before that
        body = b"0\r\n\r\n" + hidden
        stated = len(body)
    return request("seat-purchase", outer_id, 2000, body, headers % stated, version, fit=False)


def answers_to(address, text):
    """Sends the text on a new connection and returns the statuses of all answers until a close, for 3.5 s at most."""
    statuses, rest, until = [], b"", time.monotonic() + 3.5
    with connect(address) as conn:
        conn.sendall(text)
        while True:
            conn.settimeout(max(0.01, min(1.5, until - time.monotonic())))
            try:
                got = read_response(conn, rest)
            except OSError as error:
                return statuses, "open" if isinstance(error, TimeoutError) else "reset"
            if got is None:
                return statuses, "closed"
            statuses.append(got[0])
            rest = got[2]


def usual_client(record, node, number):
    """Sends two requests of a usual client. Both have to be served: the deployment works."""
    for name in ("seat-lookup", "seat-purchase"):
        request_id = "a%015x" % (16 * number + len(name))
        body = b"seat 3" if name == "seat-purchase" else b""
        status, answer = exchange(node.address, request(name, request_id, 4000, body), 5)
        record.line("client  sent %s %s to node %d: %d %r" % (name, request_id, node.number, status, answer))
        if status != 200 or answer != answer_of(request_id):
            raise CaseError("a usual request was not served: %d" % status)


def case(record, nodes, folder):
    servers = [AppServer("server %d" % i, record) for i in range(SERVERS)]
    targets = [target_of(server, i, ("north", "stage", "foyer")[i % 3]) for i, server in enumerate(servers)]
    for number in range(NODES):
        nodes.append(Node(folder, number, Discovery(list(targets)).address, settings_of(NODES, number), record))
        nodes[-1].start()
    hidden, broken = {}, {}
    for k in range(ROUNDS):
        for number, node in enumerate(nodes):
            usual_client(record, node, 2 * k + number)
        for f, form in enumerate(FORMS):
            outer_id, hidden_id = "c%014x0" % (16 * k + f), "c%014x1" % (16 * k + f)
            hidden[hidden_id] = form
            node = nodes[(k + f) % NODES]
            text = bad_request(form, outer_id, hidden_id)
            record.line("bad client  [%s] sends one request to node %d: %r" % (form, node.number, text))
            statuses, end = answers_to(node.address, text)
            record.line("bad client  [%s] %s got %s, then %s" % (form, outer_id, statuses, end))
    time.sleep(0.5)
    for server in servers:
        for request_id in server.runs:
            if request_id in hidden:
                form = hidden[request_id]
                broken[form] = broken.get(form, 0) + 1
                record.line("BROKEN  %s ran %s, which no client sent: it was hidden in the body of a request [%s]" % (
                    server.name, request_id, form))
    for form in FORMS:
        record.line("form [%s]: %d of %d hidden requests were run" % (form, broken.get(form, 0), ROUNDS))
    return not broken, "%d of %d hidden purchases were run by app servers" % (sum(broken.values()), ROUNDS * len(FORMS))


run_case(HERE, case)
