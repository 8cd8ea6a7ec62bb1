"""Targets and callers of the soak. Both keep the records that the checks use."""
import dataclasses
import http.client
import json
import select
import socket
import struct
import threading
import time
import weakref

from mesh_world import HEARTBEAT_PERIOD_S, Target, call

WARMUP_S = 3.0  # warmup_s of the configuration
DRAIN_S = 2.0  # drain_ms of the settings
LEAVE_ATTEMPTS = 10
ANSWER_LIMIT_S = 3.0  # the caller gives up this long after the route's timeout
SLOW_WORK_S, USUAL_WORK_S, LONG_WORK_S, LONG_SHARE = (0.2, 1.2), (0.005, 0.04), (0.2, 0.6), 0.05


@dataclasses.dataclass
class Run:
    request_id: str
    target: int
    life: str
    key: int  # -1: none
    head: tuple  # method, path, headers, body
    begin: float
    outcome: str = "at work"  # answered, cut, crashed, broken by the target
    status: int = 0
    signature: str = ""
    body: bytes = b""


@dataclasses.dataclass
class Request:
    id: str
    node: int
    route: str
    method: str
    key: int | None
    body: bytes
    deadline_s: float
    timeout_s: float
    sent: float
    behind: float | None = None  # end of the previous request on the connection
    end: float | None = None
    outcome: str = "open"  # answer, broken, closed, no answer, left, not read, no HTTP
    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    answer: bytes = b""


class SoakTarget(Target):
    """A target with fault injection: `rates` maps each kind of fault to its probability."""

    def __init__(self, number, service, sharded, domain, rng):
        super().__init__(number, service, sharded, domain)
        self.number, self.rng, self.rates = number, rng, {}
        self.down = False
        self.left = False  # has left; sends no heartbeats of its own any more
        self.leaves = []  # (life, time) of the acknowledged leaves
        self.soak_runs = []
        self.sockets = weakref.WeakSet()
        self.extra_answers = [b""]  # earlier answers, for the fault that sends extra bytes
        self.server.verify_request = lambda _request, _address: not self.down

    def crash(self, pause, cold, same_id):
        with self.lock:
            self.down = True
            self.life += 1
            for hold in self.key_holds:
                hold.end = min(hold.end, time.monotonic())
            self.grants_seen, self.first_acknowledged_at = [], float("inf")
        for connection in list(self.sockets):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # already closed
        time.sleep(pause)
        with self.lock:
            if not same_id:
                self.id = f"t-{self.number}-{self.life}"
            self.started_ms, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
            self.cold_until = time.monotonic() + WARMUP_S if cold else 0.0
            self.down = self.left = False

    def drain_and_restart(self, *start):
        """Drains: keeps serving for the drain time after the leave was acknowledged, then restarts."""
        life, self.state = self.life, "draining"
        for _ in range(LEAVE_ATTEMPTS):
            if self.send_heartbeat() == 200:
                self.leaves.append((f"{self.id}#{life}", time.monotonic()))
                time.sleep(DRAIN_S + HEARTBEAT_PERIOD_S)
                break
            time.sleep(HEARTBEAT_PERIOD_S)
        self.leave()  # if its node is down, the registration expires
        if life == self.life:
            self.crash(*start)

    def leave(self):
        """Leaves. Returns the status of the answer, 0 without one."""
        self.left, life = True, f"{self.id}#{self.life}"
        try:
            status = call(self.registration, "DELETE", f"/api/instances/{self.id}", timeout=1).status
        except (OSError, http.client.HTTPException):
            return 0
        if status == 200:
            self.leaves.append((life, time.monotonic()))
        return status

    def leave_and_restart(self, late_s, serves_s, *start):
        """Leaves without having drained. A heartbeat from before the leave arrives late. Serves on, then restarts."""
        life, late = self.life, (self.id, self.next_heartbeat())
        for _ in range(LEAVE_ATTEMPTS):
            if self.leave() == 200:
                break
            time.sleep(HEARTBEAT_PERIOD_S)
        time.sleep(late_s)
        self.deliver_heartbeat(*late)
        time.sleep(max(0.0, serves_s - late_s))
        if life == self.life:
            self.crash(*start)

    def send_heartbeats(self):
        while not self.stop.wait(HEARTBEAT_PERIOD_S):
            if not self.down and not self.left:
                self.send_heartbeat()

    def handle(self, connection, body):
        self.sockets.add(connection.connection)
        if self.down:
            connection.close_connection = True
        elif connection.path == "/h":
            connection.answer(200 if self.state == "ready" else 503, {"Instance-Id": self.id})
        else:
            super().handle(connection, body)

    def run(self, connection, body):
        headers = dict(connection.headers.items())
        name, key = headers["Request-Id"], int(headers["Shard-Key"]) if self.sharded else -1
        with self.lock:
            chosen = {kind for kind, rate in list(self.rates.items()) if self.rng.random() < rate}
            if headers.get("Expected-Instance") != self.id:
                connection.answer(421, {"Instance-Id": self.id, "Request-Id": name})
                return
            if "reject" in chosen or self.sharded and not self.holds(key):
                connection.answer(503 if "reject" in chosen else 421, {"Not-Executed": "1", "Request-Id": name})
                return
            run = Run(name, self.number, f"{self.id}#{self.life}", key, (connection.command, connection.path, headers, body),
                      time.monotonic())
            self.soak_runs.append(run)
            self.keys_in_progress.append(key)
            work = self.rng.uniform(*(SLOW_WORK_S if "slow" in chosen else
                                      LONG_WORK_S if self.rng.random() < LONG_SHARE else USUAL_WORK_S))
            size, closes, extra = self.rng.choice((1, 10, 2000)), self.rng.random() < 0.01, self.rng.choice(
                self.extra_answers)
        left = int(headers["Deadline-Ms"]) / 1000
        outcome = self.work(connection.connection, run.begin + min(work, left))
        self.keys_in_progress.remove(key)
        connection.close_connection = "break" in chosen or closes or outcome == "cut"
        if run.life != f"{self.id}#{self.life}":
            outcome = "crashed"
        if outcome != "done":
            run.outcome = outcome
            return
        run.status = 504 if work >= left else 500 if "fail" in chosen else 200
        run.signature = f"{self.id}/{name}/{run.begin}"
        run.body = run.signature.encode() * size
        run.outcome = "broken by the target" if "break" in chosen else "answered"
        refusal = f"HTTP/1.1 503 Status\r\nNot-Executed: 1\r\nRequest-Id: {name}\r\nContent-Length: 0\r\n\r\n".encode()
        answer = (f"HTTP/1.1 {run.status} Status\r\nRequest-Id: {name}\r\nResponse-Signature: {run.signature}\r\n"
                  f"{'Connection: close' if closes else 'X-Note: 1'}\r\nContent-Length: {len(run.body)}\r\n\r\n"
                  ).encode() + run.body
        self.extra_answers = [answer, refusal]
        try:
            connection.wfile.write(answer[:-len(run.body) // 2] if "break" in chosen else answer)
            # Extra bytes after a truncated body would complete it; no receiver could tell them from the rest of the body.
            if "extra" in chosen and "break" not in chosen:
                time.sleep(self.rng.choice((0, 0.01)))
                connection.wfile.write(extra)
        except ConnectionError:
            run.outcome = "cut"

    @staticmethod
    def work(connection, until):
        """Waits until the given time. Returns 'cut' if the connection ends before, else 'done'."""
        poll = select.poll()
        poll.register(connection, select.POLLIN)
        while (left := until - time.monotonic()) > 0:
            if poll.poll(left * 1000):
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return "cut"
                except ConnectionError:
                    return "cut"
                time.sleep(0.005)  # the next request of the connection waits
        return "done"


class Caller(threading.Thread):
    """Sends requests to one node, with one of the BEHAVIOURS, and records how each request ended. Reuses its
    connection until the connection is closed."""

    BEHAVIOURS = ["keeps", "pipelines", "leaves", "new"]
    ROUTES = [("look", "GET", True), ("read", "GET", False), ("confirm", "POST", True)]

    def __init__(self, mesh, index, number, rng):
        super().__init__(name=f"c{index}{number}")
        self.port, self.index, self.rng = mesh.nodes[index].ports["ingress"], index, rng
        self.behaviour = self.BEHAVIOURS[(index + number) % len(self.BEHAVIOURS)]
        self.timeouts = {path["name"]: path["timeout_ms"] / 1000 for path in mesh.config["virtual_hosts"][0]["paths"]}
        self.requests = []
        self.stopped = threading.Event()
        self.connection = self.stream = None

    def close(self):
        if self.connection is not None:
            self.stream.close()
            self.connection.close()
            self.connection = None

    def connect(self):
        try:
            self.connection = socket.create_connection(("127.0.0.1", self.port), 1)
        except OSError:
            return False  # the node is down or starting
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.connection.makefile("rb")
        return True

    def make_request(self, routes):
        route, method, keyed = self.rng.choice(routes)
        # Half of the keys are close to each other.
        key = self.rng.choice((self.rng.randrange(65536), 30000 + self.rng.randrange(500))) if keyed else None
        body = self.rng.randbytes(self.rng.choice((0, 20, 3000))).hex().encode() if method == "POST" else b""
        request = Request(f"{self.name}-{len(self.requests)}", self.index, route, method, key, body,
                          self.rng.choice((1.0, 2.0, 4.0)), self.timeouts[route], time.monotonic())
        self.requests.append(request)
        return request

    @staticmethod
    def encode_request(request):
        key = "" if request.key is None else f"Shard-Key: {request.key}\r\n"
        return (f"{request.method} /{request.route}/{request.id} HTTP/1.1\r\nHost: h\r\nRequest-Id: {request.id}\r\n"
                f"Deadline-Ms: {int(request.deadline_s * 1000)}\r\nKey: k1\r\n{key}"
                f"Content-Length: {len(request.body)}\r\n\r\n").encode() + request.body

    def run(self):
        while not self.stopped.wait(self.rng.uniform(0, 0.08)):
            if self.connection is None and not self.connect():
                continue
            pipelines = self.behaviour == "pipelines"
            self.exchange([self.make_request(self.ROUTES[:2] if pipelines else self.ROUTES)
                           for _ in range(self.rng.randint(2, 3) if pipelines else 1)])
            if self.behaviour == "new":
                self.close()
        self.close()

    def exchange(self, batch):
        try:
            self.connection.sendall(b"".join(map(self.encode_request, batch)))
        except OSError:
            pass  # an answer may still have arrived
        if self.behaviour == "leaves" and self.rng.random() < 0.2:
            time.sleep(self.rng.uniform(0, 0.06))
            batch[0].outcome, batch[0].end = "left", time.monotonic()
            self.close()
            return
        before = None
        for request in batch:
            request.behind = before
            if self.connection is None:
                request.outcome, request.end = "not read", before
            else:
                self.receive(request)
            before = request.end

    def receive(self, request):
        limit = max(request.sent, request.behind or 0) + request.timeout_s + ANSWER_LIMIT_S
        request.outcome = "closed"
        try:
            self.connection.settimeout(max(0.01, limit - time.monotonic()))
            if line := self.stream.readline():
                request.outcome = "broken"
                request.status = int(line.split()[1])
                request.headers = {name.lower(): value for name, value in http.client.parse_headers(self.stream).items()}
                size = int(request.headers.get("content-length", -1))
                request.answer = self.stream.read(max(0, size))
                request.outcome = "answer" if len(request.answer) == size else "broken"
        except TimeoutError:
            request.outcome = "no answer"
        except ConnectionError:
            pass  # request.outcome says closed or broken
        except (ValueError, IndexError, http.client.HTTPException) as error:
            request.outcome = f"no HTTP: {error}"
        request.end = time.monotonic()
        if request.outcome != "answer" or request.headers.get("connection", "").lower() == "close":
            self.close()
