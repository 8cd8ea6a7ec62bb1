"""Guarantees that the soak checks, using the records of callers and targets."""
from mesh_soak_load import DRAIN_S
from mesh_world import CONTACT_RESTORED_S

GRACE_S = 6.0  # between SIGTERM and SIGKILL; stop_grace_ms of the settings
LAST_PART_OF_GRACE = 5 / 6  # part of the grace period after which a stop may cut off running requests
AFTER_FREEZE_S = 0.3  # a grant may arrive late for this long after its sender was frozen
MAX_TWO_HOLDERS_S = 0.5  # longest time for which two targets may hold a key, even without requests
MAX_LATENESS_S = 0.7  # longest time between the route's timeout and the router's answer
MAX_READ_DELAY_S = 0.2  # if the connection closes later than this after the send, the router has read the request
DEADLINE_TOLERANCE_S = 0.1  # an answer of the router this close to the deadline counts as a deadline error
NOT_RUN_STATUSES = (408, 421, 429, 503)  # statuses which say that the request has not run and will not run


class Checks:
    """Finds violations of the guarantees. Times in which the soak itself was stalled (`stalls`) do not count as delays."""

    def __init__(self, requests, targets, faults, stalls):
        self.requests, self.targets, self.faults, self.stalls = requests, targets, faults, stalls
        self.runs = {}
        for run in (run for target in targets for run in target.soak_runs):
            self.runs.setdefault(run.request_id, []).append(run)
        self.failures = []
        for request in requests:
            self.check_answer(request)
            self.check_time(request)
            self.check_abandoned(request)
            self.check_runs(request)
        sent = {request.id for request in requests}
        for run in (run for runs in self.runs.values() for run in runs):
            if run.request_id not in sent and not run.head[1].endswith("/x/"):  # path of Mesh.send
                self.fail("unasked", run.request_id, f"ran at {run.life}, but was not sent")
        self.check_owners()
        self.check_stops()
        self.check_leaves()

    def fail(self, check, name, text):
        self.failures.append((check, name, text))

    def fault_overlaps(self, kinds, indexes, begin, end):
        return any(fault.kind in kinds and fault.index in indexes and fault.touches(begin, end) for fault in self.faults)

    def stall_time(self, begin, end):
        return sum(max(0, min(end, stall[1]) - max(begin, stall[0])) for stall in self.stalls)

    def check_answer(self, request):
        runs = self.runs.get(request.id, [])
        if request.outcome.startswith("no HTTP"):
            self.fail("mixed", request.id, request.outcome)
        if request.outcome == "broken" and not self.fault_overlaps(
                ("kill", "term"), (request.node,), request.sent, request.end):
            self.fail("mixed", request.id, "the answer was incomplete")
        if request.outcome != "answer":
            return
        if request.headers.get("request-id") != request.id:
            self.fail("mixed", request.id, f"got {request.status} of {request.headers.get('request-id')}")
        signature = request.headers.get("response-signature")
        if signature is not None:
            wrote = [(run.status, run.body) for run in runs if run.signature == signature and run.outcome == "answered"]
            if wrote != [(request.status, request.answer)]:
                self.fail("mixed", request.id, f"got {request.status} with {len(request.answer)} bytes, signed {signature}")
        elif request.status < 300:
            self.fail("mixed", request.id, f"got {request.status} without a signature")
        elif request.status < 500 and request.status not in NOT_RUN_STATUSES:
            self.fail("denied", request.id, f"is valid and got {request.status}")
        elif request.status in NOT_RUN_STATUSES and runs:
            self.fail("refused" if request.method == "POST" else "refused (safe)", request.id,
                      f"got {request.status} {request.end - request.sent:.2f} s after it was sent and ran at "
                      f"{[(run.life, f'{run.begin - request.sent:.2f}', run.outcome) for run in runs]}")

    def check_time(self, request):
        start = max(request.sent, request.behind or 0)
        if (request.outcome not in ("left", "not read") and "response-signature" not in request.headers
                and request.end - start - self.stall_time(start, request.end) > request.timeout_s + MAX_LATENESS_S
                and not self.fault_overlaps(("freeze",), (request.node,), start, request.end)):
            self.fail("late", request.id, f"{request.end - start:.2f} s, {request.outcome} {request.status}")

    def check_runs(self, request):
        runs = self.runs.get(request.id, [])
        for run in runs:
            method, path, headers, body = run.head
            if (method, path, body) != (request.method, f"/{request.route}/{request.id}", request.body):
                self.fail("unasked", request.id, f"was changed: {method} {path}, {len(body)} bytes")
            if ("Key" in headers or headers.get("Tenant") != "guild"
                    or headers.get("Caller-Service") != self.targets[request.node].service):
                self.fail("unasked", request.id, f"ran with the identity {headers}")
        if request.method == "POST" and len(runs) > 1:
            self.fail("twice", request.id, f"ran at {[run.life for run in runs]}")

    def check_abandoned(self, request):
        """Finds requests that the router answered itself or whose connection it closed while a target was working on them."""
        router_ended = request.outcome in ("closed", "broken") or (
            request.outcome == "answer" and "response-signature" not in request.headers)
        if not router_ended or request.end >= request.sent + min(
                request.timeout_s, request.deadline_s) - DEADLINE_TOLERANCE_S:
            return
        planned = self.fault_overlaps(("term",), (request.node,), request.sent - GRACE_S - 1, request.end) and all(
            fault.planned or not fault.touches(request.sent - CONTACT_RESTORED_S, request.end) for fault in self.faults)
        runs = self.runs.get(request.id, [])
        if planned and request.outcome == "closed" and not runs and request.behind is None and (
                request.end - request.sent > MAX_READ_DELAY_S + self.stall_time(request.sent, request.end)):
            self.fail("lost", request.id, f"closed without an answer after {request.end - request.sent:.2f} s")
        for run in runs:
            if (run.begin > request.end or run.outcome == "answered" and run.status != 200
                    or run.outcome not in ("cut", "at work", "answered")
                    or self.fault_overlaps(("kill",), (request.node, run.target), request.sent, request.end)
                    or self.fault_overlaps(("crash",), (run.target,), run.begin, request.end)
                    or self.may_be_cut_off_by_stop(request)):
                continue
            self.fail("lost" if planned else "given up while at work", request.id,
                      f"{request.method} ended after {request.end - request.sent:.2f} s with {request.outcome} "
                      f"{request.status}, its run at {run.life} after {run.begin - request.sent:.2f} s: {run.outcome}")

    def may_be_cut_off_by_stop(self, request):
        return any(fault.kind == "term" and fault.index == request.node
                   and request.sent < fault.start + GRACE_S / 2 and request.end > fault.start + GRACE_S * LAST_PART_OF_GRACE
                   and fault.touches(request.sent, request.end) for fault in self.faults)

    def check_owners(self):
        holds = sorted(((hold, target) for target in self.targets for hold in target.key_holds),
                       key=lambda entry: entry[0].start)
        for number, (late, target) in enumerate(holds):
            after_freeze = self.fault_overlaps(("freeze",), (target.number,), late.start - AFTER_FREEZE_S, late.start)
            for early, other in holds[:number]:
                first, last = max(late.first, early.first), min(late.last, early.last)
                if target.service != other.service or first > last or late.life == early.life:
                    continue
                overlap = f"{first} to {last} (fence {late.fence}) as {early.life} (fence {early.fence})"
                # A node that does not know yet that its target has restarted renews the grants of the previous process.
                repeated = late.renewed or not late.life_known and target is other and early.fence == late.fence
                if early.fence >= late.fence and not repeated:
                    self.fail("owner", late.life, f"got {overlap}")
                end = min(late.end, early.end)
                if end <= late.start or after_freeze:
                    continue
                began = [any(first <= run.key <= last and late.start <= run.begin < end for run in holder.soak_runs)
                         for holder in (target, other)]
                if all(began) or end - late.start > MAX_TWO_HOLDERS_S:
                    self.fail("owner", late.life, f"holds {overlap} for {end - late.start:.3f} s, both begin requests: "
                                                  f"{all(began)}")

    def check_stops(self):
        for fault in self.faults:
            if fault.kind == "term" and fault.code != 0 and not self.fault_overlaps(
                    ("kill", "freeze"), (fault.index,), fault.start - CONTACT_RESTORED_S, fault.end):
                self.fail("stop", f"n{fault.index}", f"ended with {fault.code}")

    def check_leaves(self):
        """Finds requests that reached a target after the drain time of an acknowledged leave."""
        for target in self.targets:
            for life, acknowledged in target.leaves:
                for run in target.soak_runs:
                    bound = acknowledged + DRAIN_S + self.stall_time(acknowledged, run.begin)
                    if run.life == life and run.begin > bound and not self.fault_overlaps(
                            ("freeze",), (target.number,), acknowledged, run.begin):
                        self.fail("drain", run.request_id, f"reached {life} {run.begin - acknowledged:.2f} s after its leave")
