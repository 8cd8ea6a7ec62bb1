"""The planned successor of a moving key range drains before the owner's release is answered, and the range is moved again.
Checks OWNER: no upstream gets a key on which another is still at work, before that one's hold would have run out, and no
two hold a key for over half a second. With LATE=1 the second release of the owner gets no answer and is carried out late."""
import json
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import mesh_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOT_KEY = 4000
WORK_S = 1.2
RATE_PER_S = 9
LENGTH_S = 25.0
LATE = os.environ.get("LATE", "0") != "0"
LATE_S = 3.0  # the second release is carried out this late ("2 to 12 s later")
TWO_HOLDERS_S = 0.5
# Work that ends this soon after the other upstream got the key counts as ended: threads take turns.
TOLERANCE_S = 0.1


class Owner(mesh_case.Upstream):
    """With LATE=1, answers nothing to its second release and carries it out late."""

    releases = 0

    def release(self, connection, release):
        self.releases += 1
        if not (TROUBLE and LATE and self.releases == 2):
            super().release(connection, release)
            return
        self.case.record.write("release", at=self.name, carried_out="late", body=json.dumps(release).replace(" ", ""))
        if not self.stopped.wait(LATE_S):
            with self.lock:
                for grant in self.grants:
                    if grant.fence <= release["fence"] and grant.released_at is None:
                        grant.released_at = time.monotonic()


class OwnerCase(mesh_case.Case):
    """Notes each upstream that gets keys on which another one is still at work."""

    def on_new_grant(self, upstream, grant, now):
        for other in self.upstreams:
            if other is upstream or not other.sharded:
                continue
            for run in list(other.runs):
                if run.ended is None and grant.first <= run.key <= grant.last:
                    until = max((g.until for g in other.grants if g.first <= run.key <= g.last), default=0.0)
                    if until > now + TOLERANCE_S:
                        threading.Thread(target=self.judge, args=(upstream, grant, other, run, now, until)).start()

            for held in list(other.grants):
                if held.released_at is None and held.until > now + TWO_HOLDERS_S and held.first <= grant.last and (
                        grant.first <= held.last):
                    threading.Thread(target=self.judge_holds, args=(upstream, grant, other, held, now)).start()

    def judge_holds(self, upstream, grant, other, held, now):
        time.sleep(TWO_HOLDERS_S)
        if held.released_at is None or held.released_at > now + TWO_HOLDERS_S:
            self.break_rule(f"{upstream.name} got keys {grant.first}-{grant.last} (fence {grant.fence}) and {other.name} held "
                            f"them (fence {held.fence}) for {held.until - now:.2f} s more")

    def judge(self, upstream, grant, other, run, now, until):
        while run.ended is None and not self.stop.is_set():
            time.sleep(0.01)
        overlap = min(run.ended or time.monotonic(), until) - now
        if overlap > TOLERANCE_S:
            self.break_rule(f"{upstream.name} got keys {grant.first}-{grant.last} (fence {grant.fence}) while {other.name} "
                            f"was at work on {run.id} (key {run.key}) for {overlap:.2f} s more, within its hold")


def successor_in(node, first):
    """The node to which this node's range moves."""
    for entry in node.status()["keys"]["desk"]:
        if entry["first"] == first and entry.get("successor"):
            return entry["successor"]
    return None


def main():
    routes = [mesh_case.route("confirm", "/confirm/", "unsafe", "desk", 3500, 3000)]
    machines = [(f"desk-{letter}", "desk", True, WORK_S) for letter in "abcd"]
    tenants = [{"name": "tellers", "api_keys": ["k1"], "priority": 1, "rate_per_s": 200, "burst": 200}]
    with OwnerCase(pathlib.Path(__file__).resolve().parent, machines, routes, tenants) as case:
        owner, client = case.upstreams[0], case.nodes[3]
        owner.__class__ = Owner
        mesh_case.wait_until(lambda: owner.holds(HOT_KEY), "the first upstream has its keys", 15)
        moved, drained = threading.Event(), threading.Event()

        def drain_successor(first):
            name = mesh_case.wait_until(lambda: successor_in(case.nodes[0], first), "the successor is known", 2)
            next(node.upstream for node in case.nodes if node.name == name).drain()
            drained.set()

        def on_release(first, last):
            if TROUBLE and first <= HOT_KEY <= last and not moved.is_set():
                moved.set()
                threading.Thread(target=drain_successor, args=(first,), daemon=True).start()

        owner.on_release = on_release
        case.load(RATE_PER_S, lambda: case.request(client, "/confirm/x", "POST", HOT_KEY, 3500, b"order"))
        time.sleep(LENGTH_S)
        answered = sum(1 for upstream in case.upstreams for run in upstream.runs if run.ended)
        if answered < 40:
            raise mesh_case.CannotRun(f"only {answered} requests ran")
        if TROUBLE and not drained.is_set():
            raise mesh_case.CannotRun("no successor of a moving range was drained")
    for text in case.broken:
        print(text)
    print("OWNER broken" if case.broken else "OWNER held")
    return 1 if case.broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except mesh_case.CannotRun as error:
        print("could not run:", error)
        sys.exit(2)
