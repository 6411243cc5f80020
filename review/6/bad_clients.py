"""Bad clients, as the page on bad clients names them: each sends a body of 60 MB at full speed, reads what it is sent, and connects again
when its connection ends. Usage: bad_clients.py HOST PORT CONNECTIONS SECONDS"""
import selectors
import socket
import sys
import time

host, port, connections, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
BODY = 60_000_000
PIECE = b"x" * 200_000
selector = selectors.DefaultSelector()
answers = {}


class Connection:
    def __init__(self, number):
        self.number = number
        self.socket = socket.socket()
        self.socket.setblocking(False)
        try:
            self.socket.connect((host, port))
        except BlockingIOError:
            pass
        self.out = (b"POST /stop-update/%016x HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: bad-%d-%d\r\nX-Tariff: flotte\r\nX-Budget-Ms: 3000\r\n"
                    b"X-Weight: units=1,spread=1,first=0\r\nContent-Length: %d\r\n\r\n" % (number, number, time.monotonic_ns(), BODY))
        self.left = BODY
        selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def end(self):
        selector.unregister(self.socket)
        self.socket.close()

    def act(self, events):
        if events & selectors.EVENT_READ:
            text = self.socket.recv(1 << 16)
            if not text:
                raise ConnectionError
            status = text[9:12].decode("latin-1")
            answers[status] = answers.get(status, 0) + 1
        if events & selectors.EVENT_WRITE:
            if not self.out and self.left > 0:
                self.out = PIECE[:min(len(PIECE), self.left)]
                self.left -= len(self.out)
            if self.out:
                self.out = self.out[self.socket.send(self.out):]
            else:
                selector.modify(self.socket, selectors.EVENT_READ, self)


until = time.monotonic() + seconds
for number in range(connections):
    Connection(number)
while time.monotonic() < until:
    for key, events in selector.select(0.05):
        try:
            key.data.act(events)
        except OSError:
            key.data.end()
            Connection(key.data.number)
print("answers to bad clients:", answers)
