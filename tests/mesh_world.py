"""A deployment of mesh nodes for tests: real nodes and the store stand-in on loopback, with targets simulated here."""
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scripts"))
from deployment import BUILD, Process, call, wait_until  # noqa: E402

HEARTBEAT_PERIOD_S = 0.3
CONFIGURATION_S = 2.0  # bound for a configuration change to take effect on all nodes
CONTACT_RESTORED_S = 3.0  # bound for a node to reach the others again after the end of a fault
LEASE_S = 5.0  # lease of a node; the keys of a lost host can be reassigned after this time
IN_FLIGHT_S = 0.1  # messages that a node sent before it learned of a change have arrived after this time
COLD_RATE_PER_S = 12
TARGET_SLOTS = 6
DOMAINS = ["a", "b", "c"]


class PortPicker:
    """Picks distinct listening ports below the kernel's ephemeral range, so that no outgoing connection can take one before
    the node starts. The kernel may return the same port twice when a socket is bound to port 0 and closed again."""

    # MAGNOLIA_TEST_PORTS is LOWEST-HIGHEST, so that cases that run beside each other use different ports.
    LOWEST, HIGHEST = map(int, os.environ.get("MAGNOLIA_TEST_PORTS", "20000-32000").split("-"))

    def __init__(self):
        self.next = random.randrange(self.LOWEST, self.HIGHEST)

    def pick(self):
        for _ in range(self.HIGHEST - self.LOWEST):
            port = self.next
            self.next = self.LOWEST if port + 1 >= self.HIGHEST else port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue  # used by another program
        raise RuntimeError("no free port")


PORTS = PortPicker()


@dataclasses.dataclass
class Hold:
    """Keys that a target holds or held. `end` is the end of the grant, or the time at which the keys were released."""
    first: int
    last: int
    fence: int
    start: float
    end: float
    life: str  # process lifetime of the target that holds the keys
    renewed: bool  # overlapping keys were granted with this fence before
    life_known: bool  # the granting node knew of this process lifetime


class Target:
    """A target on loopback: runs requests for the keys that it holds, records every run and sends heartbeats."""

    def __init__(self, number, service, sharded, domain):
        self.id = f"t-{service}-{number}"
        self.service, self.sharded, self.domain = service, sharded, domain
        self.started_ms = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.runs = []  # (request id, path, headers)
        self.keys_in_progress = []  # of running requests; -1 without a key
        # Time of this lifetime's first acknowledged heartbeat
        self.life, self.first_acknowledged_at = 0, float("inf")
        self.key_holds = []  # all Holds in the order of the grants, ended ones included
        self.grants_seen = []  # (first, last, fence)
        self.work_s = 0.01
        self.break_next = 0
        self.state = "ready"
        self.cold_until = 0.0
        self.sequence = 0
        self.registration = None
        self.stop = threading.Event()
        target = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *_args):
                pass

            def answer(self, status, headers, body=b""):
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def handle_any(self):
                body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
                target.handle(self, body)

            do_GET = do_POST = do_PUT = handle_any

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, request, client_address):
                if not isinstance(sys.exc_info()[1], ConnectionError):  # nodes close connections of abandoned requests
                    super().handle_error(request, client_address)

        self.server = Server(("127.0.0.1", 0), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def handle(self, connection, body):
        if connection.path == "/api/grant":
            grant = json.loads(body)
            self.grant(connection, grant["from"], grant["to"], grant["fence"], grant["hold_ms"] / 1000)
        elif connection.path == "/api/release":
            release = json.loads(body)
            self.release(connection, release["from"], release["to"], release["fence"])
        else:
            self.run(connection, body)

    def grant(self, connection, first, last, fence, seconds):
        now = time.monotonic()
        with self.lock:
            seen = [entry for entry in self.grants_seen if entry[0] <= last and first <= entry[1]]
            if any(entry[2] > fence for entry in seen):
                connection.answer(409, {})
                return
            self.grants_seen.append((first, last, fence))
            self.end_holds(first, last, fence, now)
            renewed = any(entry[2] == fence for entry in seen)
            self.key_holds.append(Hold(first, last, fence, now, now + seconds, f"{self.id}#{self.life}", renewed,
                                       now > self.first_acknowledged_at + IN_FLIGHT_S))
        connection.answer(200, {})

    def release(self, connection, first, last, fence):
        """Refuses new requests for the keys immediately and answers when the running ones have ended."""
        with self.lock:
            self.end_holds(first, last, fence, time.monotonic())
        while any(first <= key <= last for key in list(self.keys_in_progress)):
            time.sleep(0.005)
        connection.answer(200, {"Handover": f"h-{self.id}"})

    def end_holds(self, first, last, fence, now):
        """Ends all holds of these keys with fences up to this one. Other keys of the same holds stay held."""
        for hold in [hold for hold in self.key_holds if hold.end > now and hold.fence <= fence]:
            if hold.first <= last and first <= hold.last:
                self.key_holds += [dataclasses.replace(hold, first=low, last=high, start=now, renewed=True)
                                   for low, high in ((hold.first, first - 1), (last + 1, hold.last)) if low <= high]
                hold.end = now

    def holds(self, key):
        return any(hold.first <= key <= hold.last and hold.end > time.monotonic() for hold in self.key_holds)

    def run(self, connection, body):
        request_id = connection.headers["Request-Id"]
        key = int(connection.headers["Shard-Key"]) if self.sharded else -1
        with self.lock:
            if connection.headers.get("Expected-Instance") != self.id:
                connection.answer(421, {"Instance-Id": self.id, "Request-Id": request_id})
                return
            if self.sharded and not self.holds(key):
                connection.answer(421, {"Not-Executed": "1", "Request-Id": request_id})
                return
            self.runs.append((request_id, connection.path, dict(connection.headers.items())))
            self.keys_in_progress.append(key)
            breaks = self.break_next > 0
            self.break_next -= 1 if breaks else 0
        time.sleep(self.work_s)
        self.keys_in_progress.remove(key)
        if breaks:
            connection.close_connection = True
            connection.connection.shutdown(socket.SHUT_RDWR)
            return
        connection.answer(200, {"Request-Id": request_id, "Response-Signature": "s"}, b"ok " + self.id.encode() + body)

    def send_heartbeats(self):
        while not self.stop.wait(HEARTBEAT_PERIOD_S):
            self.send_heartbeat()

    def send_heartbeat(self):
        return self.deliver_heartbeat(self.id, self.next_heartbeat())

    def next_heartbeat(self):
        self.sequence += 1
        warmup_left_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        return {"address": f"127.0.0.1:{self.port}", "born": self.started_ms,
                "info": {"service": self.service, "zone": self.domain, "version": "v", "slots": TARGET_SLOTS},
                "status": {"state": self.state, "seq": self.sequence, "warmup_left_ms": warmup_left_ms}}

    def deliver_heartbeat(self, target_id, heartbeat):
        try:
            status = call(self.registration, "PUT", f"/api/instances/{target_id}", {"Content-Type": "application/json"},
                          json.dumps(heartbeat), timeout=1).status
        except (OSError, http.client.HTTPException):
            return 0  # the node is down; the next heartbeat follows soon
        if status == 200 and heartbeat["born"] == self.started_ms:
            self.first_acknowledged_at = min(self.first_acknowledged_at, time.monotonic())
        return status

    def end(self):
        self.stop.set()
        self.server.shutdown()
        self.server.server_close()


class MeshNode:
    """A node with its local target. Its ports stay the same across restarts."""

    def __init__(self, mesh, name, domain, target):
        self.mesh, self.name, self.domain, self.target = mesh, name, domain, target
        self.ports = {kind: PORTS.pick() for kind in ("ingress", "ready", "peer", "metrics", "registration")}
        self.settings = mesh.folder / f"{name}.ini"
        self.settings.write_text(self.settings_text())
        target.registration = self.ports["registration"]
        self.child = None

    def settings_text(self):
        at = {kind: f"127.0.0.1:{port}" for kind, port in self.ports.items()}
        return f"""[node]
name = {self.name}
failure_domain = {self.domain}
ingress = {at['ingress']}
ready = {at['ready']}
peer = {at['peer']}
metrics = {at['metrics']}
[target]
service = {self.target.service}
address = 127.0.0.1:{self.target.port}
registration = {at['registration']}
[store]
address = 127.0.0.1:{self.mesh.store_port}
min_lease_ms = 1000
[bounds]
drain_ms = 2000
stop_grace_ms = 6000
evacuate_ms = 5000
max_hold_ms = 10000
repeat_ratio = 0.2
repeat_slack = 64
repeat_window_s = 10
cold_overage = 1.5
cold_slack = 5
"""

    def start(self):
        log = open(self.mesh.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([str(BUILD / "magnolia-mesh"), "--settings", str(self.settings)], stdout=log,
                                      stderr=log, stdin=subprocess.DEVNULL)

    def is_ready(self):
        try:
            return call(self.ports["ready"], "GET", "/api/readyz", timeout=1).status == 200
        except OSError:
            return False

    def kill(self):
        self.child.kill()
        self.child.wait()

    def log_tail(self):
        return (self.mesh.folder / f"{self.name}.log").read_text(errors="replace")[-600:]

    def status(self):
        return call(self.ports["metrics"], "GET", "/status", timeout=2).json()


class Mesh:
    """A deployment of `size` nodes: three of five have targets of a sharded service, the others of a balanced one. Ends only
    processes that it started. With an `era` above 0 the store states its era, and can come back from an older copy."""

    def __init__(self, size=5, make_target=Target, era=0):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="magnolia-mesh-"))
        self.store = Process("store", [BUILD / "store-standin", f"--era={era}"], self.folder / "store.log")
        self.store_port = int(self.store.first_line.rsplit(":", 1)[1])
        self.version = 0
        self.requests = 0
        self.config = {
            "services": [{"name": "desk", "sharded": True, "warmup_s": 3, "warmup_per_s": COLD_RATE_PER_S,
                          "health_path": "/h"},
                         {"name": "ledger", "warmup_s": 3, "warmup_per_s": COLD_RATE_PER_S, "health_path": "/h"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "guild", "api_keys": ["k1", "k2"], "rate_per_s": 5000, "burst": 5000}],
            "virtual_hosts": [{"host": "h", "paths": [
                self.route("look", "/look/", "safe", "desk"), self.route("confirm", "/confirm/", "unsafe", "desk"),
                self.route("read", "/read/", "safe", "ledger")]}]}
        self.targets, self.nodes = [], []
        for number in range(size):
            sharded = number < (size * 3 + 4) // 5
            domain = DOMAINS[number % 3]
            target = make_target(number, "desk" if sharded else "ledger", sharded, domain)
            self.targets.append(target)
            self.nodes.append(MeshNode(self, f"n{number}", domain, target))
        self.apply_config()

    @staticmethod
    def route(name, prefix, kind, service):
        return {"name": name, "path_prefix": prefix, "type": kind, "timeout_ms": 1500, "target_latency_ms": 1000,
                "priority": 1, "service": service, "max_attempts": 2, "no_auth": False}

    def apply_config(self):
        self.version += 3
        self.config["version"] = f"{self.version:08x}"
        self.put("op/config", json.dumps(self.config))

    def put(self, key, value=None):
        body = {"key": key} if value is None else {"key": key, "value": value}
        answer = call(self.store_port, "POST", "/-/put", body=json.dumps(body))
        assert answer.status == 200, answer.body

    def set_store_fault(self, **fault):
        assert call(self.store_port, "POST", "/-/fault", body=json.dumps(fault)).status == 200

    def __enter__(self):
        for node in self.nodes:
            node.start()
        for target in self.targets:
            threading.Thread(target=target.send_heartbeats, daemon=True).start()
        wait_until(self.all_ready, "all nodes are ready", 15)
        wait_until(lambda: all(self.serves(node, "look", key) for node in self.nodes for key in (0, 30000, 65535)),
                   "all keys are served", 15)
        wait_until(lambda: all(self.serves(node, "read") for node in self.nodes), "balanced requests are served", 15)
        return self

    def all_ready(self):
        for node in self.nodes:
            if node.child.poll() is not None:
                raise RuntimeError(f"{node.name} ended with code {node.child.returncode}: {node.log_tail()}")
        return all(node.is_ready() for node in self.nodes)

    def __exit__(self, *_exc):
        for node in self.nodes:
            if node.child is not None and node.child.poll() is None:
                node.kill()
        for target in self.targets:
            target.end()
        self.store.kill()

    def send(self, node, route, key=None, workspace_key="k1", method="GET", deadline_ms=1500, body=None, host="h"):
        self.requests += 1
        headers = {"Host": host, "Request-Id": f"r{self.requests}-{threading.get_ident()}-{time.monotonic_ns()}",
                   "Deadline-Ms": str(deadline_ms)}
        if workspace_key:
            headers["Key"] = workspace_key
        if key is not None:
            headers["Shard-Key"] = str(key)
        return call(node.ports["ingress"], method, f"/{route}/x/", headers, body, timeout=5)

    def serves(self, node, route, key=None):
        try:
            return self.send(node, route, key).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def owner_of(self, key):
        for entry in self.nodes[4].status()["keys"]["desk"]:
            if entry["first"] <= key <= entry["last"]:
                return next(node for node in self.nodes if node.name == entry["owner"])
        raise RuntimeError(f"key {key} has no owner")

    def runs(self):
        return [run for target in self.targets for run in list(target.runs)]
