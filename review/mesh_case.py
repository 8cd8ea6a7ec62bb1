"""A small mesh deployment on loopback for the cases of review/: nodes with the command and the settings template of the
deploy file, the project's store stand-in, and upstreams and clients that follow PROTOCOL.md."""
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
NODE = ROOT / "target" / "magnolia-mesh"
STORE = ROOT / "target" / "review" / "store-standin"
HEARTBEAT_S = 0.5
SLOTS = 6
ZONES = ["sofia-a", "sofia-b", "sofia-c"]
BOUNDS = {"drain_ms": 2000, "grace_s": 6, "evacuate_ms": 5000, "config_ms": 2000, "hold_max_ms": 10000,
          "retry_budget_ratio": 0.2, "retry_slack": 56, "budget_window_s": 10, "cold_overage": 1.5, "cold_slack": 5}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, event, **fields):
        with self.lock:
            text = " ".join(f"{name}={value}" for name, value in fields.items())
            self.file.write(f"{time.monotonic() - self.start:8.3f} {event} {text}\n")
            self.file.flush()


def free_port(taken):
    while True:
        port = random.randrange(20000, 32000)  # below the ports that the kernel gives to outgoing connections
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in taken:
            taken.add(port)
            return port


def call(port, method, path, headers=None, body=None, timeout=5.0):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        answer = connection.getresponse()
        return answer.status, dict((k.lower(), v) for k, v in answer.getheaders()), answer.read()
    finally:
        connection.close()


def wait_until(condition, what, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = condition()
        if result:
            return result
        time.sleep(0.02)
    raise CannotRun(f"timed out: {what}")


class Run:
    """A request that an upstream runs or ran."""

    def __init__(self, request_id, key):
        self.id, self.key = request_id, key
        self.begun, self.ended = time.monotonic(), None


class Grant:
    """Keys under a fencing token. `until` is the end of the hold time, counted from the arrival of the call."""

    def __init__(self, first, last, fence, until):
        self.first, self.last, self.fence, self.until = first, last, fence, until
        self.released_at = None


class Upstream:
    """An application upstream with SLOTS slots and a short queue."""

    def __init__(self, case, name, service, zone, sharded, work_s):
        self.case, self.name, self.service, self.zone, self.sharded = case, name, service, zone, sharded
        self.work_s = work_s
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.control = None
        self.lock = threading.Lock()
        self.slots = threading.Semaphore(SLOTS)
        self.waiting = 0
        self.runs, self.grants, self.highest = [], [], []
        self.connections = set()
        self.spoiled_share = 0.0
        self.stopped, self.left = threading.Event(), False
        self.on_release = None
        upstream = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_args):
                pass

            def setup(self):
                super().setup()
                upstream.connections.add(self.connection)

            def finish(self):
                upstream.connections.discard(self.connection)
                super().finish()

            def reply(self, status, headers, body=b""):
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                upstream.handle(self, body)

            do_GET = do_POST = do_PUT = any

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # nodes close connections of requests that nobody waits for

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle(self, connection, body):
        if connection.path == "/api/grant":
            self.grant(connection, json.loads(body))
        elif connection.path == "/api/release":
            self.release(connection, json.loads(body))
        else:
            self.serve(connection, body)

    def grant(self, connection, grant):
        now = time.monotonic()
        first, last, fence = grant["from"], grant["to"], grant["fence"]
        with self.lock:
            if any(seen[2] > fence and seen[0] <= last and first <= seen[1] for seen in self.highest):
                status = 409
            else:
                status = 200
                if (first, last, fence) not in self.highest:
                    self.highest.append((first, last, fence))
                held = [g for g in self.grants if g.first == first and g.last == last and g.fence == fence and
                        g.released_at is None and g.until > now]
                if held:
                    held[-1].until = now + grant["hold_ms"] / 1000
                else:
                    self.grants.append(Grant(first, last, fence, now + grant["hold_ms"] / 1000))
                    self.case.on_new_grant(self, self.grants[-1], now)
        if status != 200 or not held:
            self.case.record.write("grant", at=self.name, keys=f"{first}-{last}", fence=fence, hold_ms=grant["hold_ms"],
                                   status=status)
        connection.reply(status, {})

    def release(self, connection, release):
        first, last = release["from"], release["to"]
        with self.lock:
            now = time.monotonic()
            for grant in [g for g in self.grants if g.released_at is None and g.first <= last and first <= g.last and
                          g.fence <= release["fence"]]:
                grant.released_at = now
                for low, high in ((grant.first, first - 1), (last + 1, grant.last)):
                    if low <= high:
                        self.grants.append(Grant(low, high, grant.fence, grant.until))
            running = [run for run in self.runs if run.ended is None and first <= run.key <= last]
        self.case.record.write("release", at=self.name, keys=f"{first}-{last}", fence=release["fence"],
                               running=len(running))
        if self.on_release:
            self.on_release(first, last)
        while any(run.ended is None for run in running) and not self.stopped.is_set():
            time.sleep(0.005)
        self.case.record.write("released", at=self.name, keys=f"{first}-{last}", fence=release["fence"])
        connection.reply(200, {"Handover": f"h{random.getrandbits(48):012x}"})

    def holds(self, key):
        now = time.monotonic()
        return any(g.first <= key <= g.last and g.released_at is None and g.until > now for g in self.grants)

    def serve(self, connection, body):
        headers = connection.headers
        request_id, key = headers.get("Request-Id", ""), int(headers.get("Shard-Key") or -1)
        if headers.get("Expected-Instance") != self.id:
            connection.reply(421, {"Instance-Id": self.id})
            return
        deadline = time.monotonic() + int(headers.get("Deadline-Ms") or 60000) / 1000
        with self.lock:
            full = self.waiting >= 4 * SLOTS
            self.waiting += 0 if full else 1
        if full:
            connection.reply(503, {"Not-Executed": "1", "Request-Id": request_id})
            return
        taken = self.slots.acquire(timeout=max(0.0, deadline - time.monotonic()))
        with self.lock:
            self.waiting -= 1
            if taken and self.sharded and not self.holds(key):
                status = 421
            elif not taken:
                status = 503
            else:
                status = 200
                run = Run(request_id, key)
                self.runs.append(run)
                self.case.on_run(self, run)
        if status != 200:
            if taken:
                self.slots.release()
            connection.reply(status, {"Not-Executed": "1", "Request-Id": request_id})
            return
        self.case.record.write("run", at=self.name, id=request_id, key=key)
        time.sleep(self.work_s)
        with self.lock:
            run.ended = time.monotonic()
        self.slots.release()
        # One byte of a spoiled answer is wrong.
        signature = "Response-Signatuse" if random.random() < self.spoiled_share else "Response-Signature"
        self.case.record.write("ran", at=self.name, id=request_id, key=key, signed_by=signature)
        connection.reply(200, {"Request-Id": request_id, signature: f"s.{request_id}", "Server-Load": f"1,0,{SLOTS}"},
                         b"done " + request_id.encode())

    def beat(self, late_s=0.0):
        """Sends a heartbeat. It arrives this late, with the state of now."""
        self.sequence += 1
        body = {"address": f"127.0.0.1:{self.port}", "born": self.born,
                "info": {"service": self.service, "zone": self.zone, "version": "v1", "slots": SLOTS},
                "status": {"state": self.state, "seq": self.sequence, "warmup_left_ms": 0}}
        if late_s and self.stopped.wait(late_s):
            return 0
        try:
            return call(self.control, "PUT", f"/api/instances/{self.id}", {"Content-Type": "application/json"},
                        json.dumps(body), timeout=1)[0]
        except (OSError, http.client.HTTPException):
            return 0

    def beats(self):
        while not self.stopped.wait(HEARTBEAT_S) and not self.left:
            self.beat()

    def leave(self):
        """Leaves without having reported that it drains. Returns the time of the acknowledgement."""
        self.left = True
        status = call(self.control, "DELETE", f"/api/instances/{self.id}", timeout=1)[0]
        self.case.record.write("leaves", at=self.name, acknowledged=status)
        if status != 200:
            raise CannotRun("the leave was not acknowledged")
        return time.monotonic()

    def drain(self):
        self.state = "draining"
        self.case.record.write("drains", at=self.name, acknowledged=self.beat())

    def end(self):
        """The process ends: its port closes, and so do its connections."""
        if not self.stopped.is_set():
            self.stopped.set()
            self.server.shutdown()
            self.server.server_close()
            for connection in list(self.connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # already closed


class Node:
    """The node beside an upstream."""

    def __init__(self, case, name, upstream):
        self.case, self.name, self.upstream = case, name, upstream
        self.ports = {kind: free_port(case.taken) for kind in ("outbound", "ready", "control", "peer", "metrics")}
        upstream.control = self.ports["control"]
        self.settings = case.folder / f"{name}.ini"
        self.log = case.folder / f"{name}.log"
        self.settings.write_text(self.rendered())
        self.child = None

    def rendered(self):
        """The settings template of the deploy file with this machine's values."""
        values = {"node": self.name, "zone": self.upstream.zone, "limits.cpu_share": "0.2", "limits.memory_mb": "260",
                  "limits.max_fds": "4100", "ip": "127.0.0.1", "port_range.0": self.ports["peer"],
                  "port_range.1": self.ports["metrics"], "service": self.upstream.service,
                  "app_addr": f"127.0.0.1:{self.upstream.port}", "provider.address": f"127.0.0.1:{self.case.store_port}",
                  "provider.ttl_min_ms": "1000"}
        values.update({f"listen.{kind}": f"127.0.0.1:{self.ports[kind]}" for kind in ("outbound", "ready", "control")})
        values.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        text = (ROOT / "deploy" / "mesh.ini").read_text()
        text = re.sub(r"\{\{#bounds\.expose_share\}\}.*?\{\{/bounds\.expose_share\}\}", "", text, flags=re.DOTALL)
        return re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda match: str(values[match.group(1)]), text)

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MAGNOLIAARCH_BOOT"] = str(self.settings)
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([str(NODE)], stdout=log, stderr=log, stdin=subprocess.DEVNULL, cwd=ROOT,
                                          env=environment)

    def is_ready(self):
        try:
            return call(self.ports["ready"], "GET", "/api/readyz", timeout=1)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def status(self):
        return json.loads(call(self.ports["metrics"], "GET", "/status", timeout=2)[2])

    def kill(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Case:
    """The deployment of a case. `upstreams`: (name, service, sharded, seconds of work) of each machine."""

    def __init__(self, folder, upstreams, routes, tenants=()):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="mesh-case-"))
        self.record = Record(folder)
        self.taken = set()
        self.store = None
        self.nodes, self.upstreams = [], []
        self.version, self.sent = 0, 0
        self.lock = threading.Lock()
        self.broken = []
        self.stop = threading.Event()
        self.routes, self.tenants = routes, list(tenants)
        self.machines = upstreams

    def on_new_grant(self, upstream, grant, now):
        """Called with the lock of the upstream when it gets keys that it did not hold."""

    def on_run(self, upstream, run):
        """Called with the lock of the upstream when it begins to work on a request."""

    def break_rule(self, text):
        with self.lock:
            self.broken.append(text)
        self.record.write("BROKEN", what=text.replace(" ", "_"))

    def __enter__(self):
        try:
            self.begin()
        except BaseException:
            self.__exit__()
            raise
        return self

    def begin(self):
        for program in (NODE, STORE):
            if not program.exists():
                raise CannotRun(f"{program.name} is not built")
        self.store = subprocess.Popen([str(STORE)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL,
                                      stdin=subprocess.DEVNULL)
        line = self.store.stdout.readline().decode()
        if ":" not in line:
            raise CannotRun("the store stand-in did not start")
        self.store_port = int(line.strip().rsplit(":", 1)[1])
        self.store.stdout.close()
        for number, (name, service, sharded, work_s) in enumerate(self.machines):
            upstream = Upstream(self, name, service, ZONES[number % len(ZONES)], sharded, work_s)
            self.upstreams.append(upstream)
            self.nodes.append(Node(self, f"side-{name}", upstream))
        self.put_config()
        for node in self.nodes:
            node.start()
        for upstream in self.upstreams:
            threading.Thread(target=upstream.beats, daemon=True).start()
        wait_until(lambda: all(node.is_ready() for node in self.nodes), "the nodes are ready", 15)

    def __exit__(self, *_error):
        self.stop.set()
        for node in self.nodes:
            node.kill()
        for upstream in self.upstreams:
            upstream.end()
        if self.store is not None:
            self.store.kill()
            self.store.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def put(self, key, value):
        body = {"key": key} if value is None else {"key": key, "value": value}
        status = call(self.store_port, "POST", "/-/put", body=json.dumps(body))[0]
        if status != 200:
            raise CannotRun(f"the store answered {status}")

    def put_config(self):
        self.version += 2
        services = {}
        for _, service, sharded, _ in self.machines:
            services[service] = {"name": service, "sharded": sharded, "warmup_s": 3, "warmup_per_s": 13,
                                 "health_path": "/healthz", "max_connections": 110}
        config = {"version": f"{self.version:08x}", "services": list(services.values()), "tenants": self.tenants,
                  "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                             "idle_timeout_ms": 15000},
                  "virtual_hosts": [{"host": "case.example", "paths": self.routes}]}
        self.put("op/config", json.dumps(config))

    def request(self, node, path, method="GET", key=None, deadline_ms=2500, body=None, tenant_key=None):
        with self.lock:
            self.sent += 1
            request_id = f"{self.sent:06d}{random.getrandbits(32):08x}"
        headers = {"Host": "case.example", "Request-Id": request_id, "Deadline-Ms": str(deadline_ms)}
        if key is not None:
            headers["Shard-Key"] = str(key)
        if tenant_key is not None:
            headers["Key"] = tenant_key
        self.record.write("sent", id=request_id, to=node.name, method=method, path=path, key=key)
        try:
            status, answer, text = call(node.ports["outbound"], method, path, headers, body,
                                        timeout=deadline_ms / 1000 + 1)
        except (OSError, http.client.HTTPException) as error:
            self.record.write("unanswered", id=request_id, error=type(error).__name__)
            return request_id, None, False
        signed = "response-signature" in answer
        self.record.write("answered", id=request_id, status=status, signed=signed, bytes=len(text))
        return request_id, status, signed

    def load(self, per_s, send):
        """Calls `send` in a thread of its own at this rate until the case ends."""

        def loop():
            at = time.monotonic()
            while not self.stop.is_set():
                threading.Thread(target=send, daemon=True).start()
                at += 1 / per_s
                self.stop.wait(max(0.0, at - time.monotonic()))

        threading.Thread(target=loop, daemon=True).start()


def route(name, prefix, kind, service, timeout_ms, target_latency_ms, attempts=2):
    return {"name": name, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_latency_ms, "priority": 1, "service": service, "max_attempts": attempts,
            "no_auth": True}
