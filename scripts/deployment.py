"""Runs a deployment of nodes, target stand-ins and a store stand-in on loopback, for the demo and the process tests."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
START_TIMEOUT_S = 20
CLUSTER_SECRET = "demo-secret-of-this-run-only"


class Entry:
    """A catalogue entry and its number of targets."""

    def __init__(self, name, targets, keyed, slots, open_connections):
        self.name = name
        self.targets = targets
        self.keyed = keyed
        self.slots = slots
        self.connections = open_connections


class DeploymentSpec:
    """Entries, failure domains and request kinds of a deployment."""

    def __init__(self, name, region, domains, entries, kinds):
        self.name = name
        self.region = region
        self.domains = domains
        self.entries = entries
        self.kinds = kinds  # (entry, method, kind) triples


KAMUIWAPPEN = DeploymentSpec(
    "kamuiwappen", "ishikari", ["ishikari-a", "ishikari-b", "ishikari-c"],
    [Entry("storefront", 7, True, 6, 130), Entry("archive", 5, False, 6, 130)],
    [("storefront", "GET", "compose-check"), ("storefront", "GET", "tincture-browse"),
     ("storefront", "POST", "deposit-confirm"), ("storefront", "POST", "commission-confirm"),
     ("archive", "GET", "compose-check"), ("archive", "GET", "charge-browse"), ("archive", "GET", "archive-lookup")])
VITOSHA = DeploymentSpec(
    "vitosha", "sofia", ["sofia-a", "sofia-b", "sofia-c"],
    [Entry("renewals", 5, True, 9, 110), Entry("ledger", 3, False, 9, 110)],
    [("renewals", "GET", "lookup"), ("renewals", "POST", "rollover-confirm"), ("renewals", "POST", "payout-confirm"),
     ("ledger", "GET", "rate-query"), ("ledger", "GET", "statement-read")])


class Process:
    """A child process that prints its ports on the first line of its output."""

    def __init__(self, name, argv, log_path):
        self.name = name
        self.argv = [str(a) for a in argv]
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(self.argv, stdout=subprocess.PIPE, stderr=self.log, stdin=subprocess.DEVNULL)
        self.first_line = self._read_first_line()
        threading.Thread(target=self._copy_output, daemon=True).start()

    def _read_first_line(self):
        timer = threading.Timer(START_TIMEOUT_S, self.child.kill)
        timer.start()
        line = self.child.stdout.readline().decode()
        timer.cancel()
        if not line:
            raise RuntimeError(f"{self.name} ended during its start, see its log")
        return line.strip()

    def _copy_output(self):
        for line in self.child.stdout:
            self.log.write(line)

    def send(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()

    def stop(self, timeout=30):
        """Stops the process with SIGTERM and returns its exit code."""
        if self.child.poll() is None:
            self.child.terminate()
        return self.child.wait(timeout)


class Node:
    """A node and the port of its local target."""

    def __init__(self, name, entry, domain, target, process):
        self.name = name
        self.entry = entry
        self.domain = domain
        self.target = target
        self.process = process
        ports = dict(part.split("=") for part in process.first_line.split()[1:])
        self.ingress = int(ports["ingress"])
        self.admin = int(ports["admin"])


class Answer:
    """An HTTP response as received by the caller."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {k.lower(): v for k, v in headers}
        self.body = body

    @property
    def run_state(self):
        return self.headers.get("x-run-state", "")

    @property
    def error_kind(self):
        return self.headers.get("x-error-kind", "")

    def json(self):
        return json.loads(self.body)


def call(port, method, path, headers=None, body=None, timeout=15):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Answer(response.status, response.getheaders(), response.read())
    finally:
        connection.close()


def wait_until(condition, what, timeout=30, period=0.05):
    """Waits until the condition returns a true value and returns this value."""
    end = time.monotonic() + timeout
    while True:
        result = condition()
        if result:
            return result
        if time.monotonic() > end:
            raise RuntimeError(f"timed out waiting until {what}")
        time.sleep(period)


class Deployment:
    """Runs a deployment in a temporary folder. Stops only the processes that it started."""

    def __init__(self, spec, folder=None):
        self.spec = spec
        self.folder = pathlib.Path(folder or tempfile.mkdtemp(prefix=f"magnolia-{spec.name}-"))
        self.store = None
        self.targets = {}
        self.nodes = {}
        self.keys = {}

    # ---- Start and stop ----

    def start(self):
        self.start_store()
        self.ctl("apply", ROOT / "examples" / self.spec.name / "catalogue.ini")
        names = [line[len("[workspace "):-1] for line in self._catalogue_lines() if line.startswith("[workspace ")]
        for name in names:
            self.keys[name] = self.ctl("key", "issue", name).strip()
        index = 0
        for entry in self.spec.entries:
            for number in range(1, entry.targets + 1):
                self.add_node(entry, number, self.spec.domains[index % len(self.spec.domains)])
                index += 1
        self.wait_serving()

    def start_store(self, port=0):
        self.store = Process("store", [BUILD / "store-standin", "--port", port], self.folder / "store.log")
        self.store_address = self.store.first_line.split()[1]

    def _catalogue_lines(self):
        return (ROOT / "examples" / self.spec.name / "catalogue.ini").read_text().splitlines()

    def add_node(self, entry, number, domain, target_flags=()):
        name = f"{entry.name}-{number}"
        target = Process(f"target {name}", [BUILD / "target-standin", "--slots", entry.slots, *target_flags],
                         self.folder / f"target-{name}.log")
        self.targets[name] = target
        target_port = int(target.first_line.split()[1].rsplit(":", 1)[1])
        settings = self.folder / f"{name}.ini"
        settings.write_text(
            f"[node]\nname = {name}\nregion = {self.spec.region}\nfailure_domain = {domain}\nip = 127.0.0.1\n"
            f"ingress_port = 0\npeer_port = 0\nlease_port = 0\nadmin_port = 0\n"
            f"[store]\naddress = {self.store_address}\n[cluster]\nsecret = {CLUSTER_SECRET}\n"
            f"[target]\nip = 127.0.0.1\nport = {target_port}\nentry = {entry.name}\n"
            f"[log]\nlevel = info\nfile = {self.folder}/node-{name}.log\n"
            f"[limits]\nconnections = {entry.connections}\n")
        process = Process(name, [BUILD / "magnolia-node", "--settings", settings], self.folder / f"{name}.out")
        self.nodes[name] = Node(name, entry.name, domain, target_port, process)
        return self.nodes[name]

    def restart_node(self, name):
        old = self.nodes[name]
        settings = self.folder / f"{name}.ini"
        process = Process(name, [BUILD / "magnolia-node", "--settings", settings], self.folder / f"{name}.out")
        self.nodes[name] = Node(name, old.entry, old.domain, old.target, process)

    def close(self):
        for node in self.nodes.values():
            node.process.kill()
        for target in self.targets.values():
            target.kill()
        if self.store is not None:
            self.store.kill()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # ---- Operator commands ----

    def ctl(self, *arguments, check=True):
        done = subprocess.run([str(BUILD / "magnolia-ctl"), f"--store={self.store_address}", "--author=demo",
                               *[str(a) for a in arguments]], capture_output=True, text=True, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"magnolia-ctl {arguments}: {done.returncode} {done.stdout}{done.stderr}")
        return done.stdout if check else done

    def status(self):
        return json.loads(self.ctl("status", "--json"))

    def admin_token(self):
        name = next(iter(self.nodes))
        return subprocess.run([str(BUILD / "magnolia-node"), "--settings", str(self.folder / f"{name}.ini"),
                               "--print_admin_token"], capture_output=True, text=True, check=True).stdout.strip()

    def admin(self, name, path, method="GET"):
        return call(self.nodes[name].admin, method, path, {"Authorization": f"Bearer {self.admin_token()}"})

    def set_fault(self, port, **fields):
        call(port, "POST", "/-/fault", {"Content-Type": "application/json"}, json.dumps(fields))

    def set_store_fault(self, **fields):
        self.set_fault(int(self.store_address.rsplit(":", 1)[1]), **fields)

    def target_stats(self, name):
        return call(self.nodes[name].target, "GET", "/-/stats").json()

    # ---- Requests ----

    def request(self, node, entry, method="GET", kind="", key="k", workspace=None, body=None, path="", headers=None,
                timeout=15):
        fields = dict(headers or {})
        if workspace is not None:
            fields["Authorization"] = f"Bearer {self.keys[workspace]}"
        if kind:
            fields["X-Request-Kind"] = kind
        if key:
            fields["X-Routing-Key"] = key
        return call(self.nodes[node].ingress, method, f"/{entry}{path or f'/deposit/{key}'}", fields, body, timeout)

    def serves(self, node, entry, key, workspace):
        try:
            return self.request(node, entry, key=key, workspace=workspace, timeout=3).status == 200
        except OSError:
            return False

    def wait_serving(self, timeout=30):
        for node in self.nodes.values():
            for index, workspace in enumerate(self.keys):
                entry = self.spec.entries[index % len(self.spec.entries)]
                wait_until(lambda n=node, e=entry, w=workspace: self.serves(n.name, e.name, "warm-up", w),
                           f"{node.name} serves {entry.name} to {workspace}", timeout)
        wait_until(self.all_slices_owned, "every slice has an owner", timeout)

    def all_slices_owned(self):
        entries = {e["name"]: e for e in self.status()["entries"]}
        return all(entries[e.name]["owned"] == entries[e.name]["slices"] for e in self.spec.entries if e.keyed)
