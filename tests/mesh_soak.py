#!/usr/bin/env python3
"""Randomized fault injection test of the mesh node: real processes on loopback, signals, store faults and faulty targets.

`mesh_soak.py --seed N [--seconds S] [--nodes N]` runs one seed, `--seeds A..B` several. The seed determines every choice
of the test, but not the timing of the processes. The log folder of a failed run is kept and printed. `--list` prints the
cases that CI runs, `mesh_soak.py NAME` runs one of them.
"""
import argparse
import collections
import dataclasses
import json
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

from mesh_soak_checks import GRACE_S, Checks
from mesh_soak_load import Caller, SoakTarget
from mesh_world import CONFIGURATION_S, CONTACT_RESTORED_S, DOMAINS, Mesh, wait_until

RECOVERY_S = 10.0  # bound for everything to be served again after the last fault
SETTLE_S = 1.5  # wait after the last request, in which a refused request could still reach a target
CALLERS_PER_NODE = 3
PHASES_S = {"planned": 6.0, "slow": 5.0, "mixed": 8.0}
STALL_S, WATCH_PERIOD_S = 0.1, 0.02  # a gap above STALL_S in the watch thread means that the soak itself was stalled
SERVED_KEYS = (0, 9000, 30000, 50000, 65535)
TIMEOUTS_MS = {"look": 2500, "confirm": 3000, "read": 2000}  # longer than a node waits for an answer to a ping
STORE_FAULTS = [{"down": True}, {"silent": True}, {"lose_answers": 4}, {"delay_ms": 150}]
TIMES = ("start", "sent", "begin", "end", "behind")  # fields with a point in time
CI_ERA_SEEDS = {"soak_a_store_from_an_older_copy_breaks_no_promise": 3}  # played with --eras
CI_LEAVE_SEEDS = {"soak_a_target_that_left_gets_no_requests": 6}  # played with --leaves
LEAVE_PERIOD_S = 4.0  # mean time between targets that leave without having drained
ERAS_PER_PHASE = (1, 2)  # times that the store comes back from an older copy
CI_SECONDS = 9  # time for one phase
CI_SEEDS = {"soak_planned_work_cuts_no_request": 18, "soak_requests_at_a_slow_node_are_not_given_up": 52,
            "soak_requests_at_a_slow_owner_are_not_refused": 139, "soak_overlapping_faults_break_no_promise": 40}


@dataclasses.dataclass
class Fault:
    kind: str
    index: int  # index of the node or target
    start: float
    planned: bool
    end: float = float("inf")
    code: object = 0  # exit code of a stopped process

    def touches(self, begin, end):
        return self.start <= end and self.end >= begin


def make_schedule(seed, seconds, size):
    """Phases with planned work only, with a slow node during a stop, and with all kinds of faults, in an order that the seed
    determines. Returns the entries (time, kind, index, arguments) and the length in seconds."""
    rng = random.Random(f"schedule {seed}")
    planned = {"term": lambda: (rng.uniform(0.1, 1),), "hangup": lambda: (rng.uniform(0, 1),),
               "configure": lambda: (rng.randrange(1000),), "evacuate": lambda: (rng.choice(DOMAINS), rng.uniform(0.5, 2.5)),
               "drain": lambda: (rng.uniform(0.2, 1), rng.random() < 0.5, rng.random() < 0.2)}
    rates = dict.fromkeys(("slow", "reject", "break", "extra", "fail"), lambda: (rng.uniform(0.5, 3), rng.uniform(0.1, 0.9)))
    mixed = planned | rates | {
        "kill": lambda: (rng.uniform(0.1, 1),), "freeze": lambda: (rng.uniform(0.2, 2.5),), "crash": planned["drain"],
        "store": lambda: (rng.choice(STORE_FAULTS), rng.uniform(0.3, 2.5))}
    entries, start = [], 0.5
    while True:
        for name in rng.sample(sorted(PHASES_S), len(PHASES_S)):
            if entries and start + PHASES_S[name] > seconds:
                return sorted(entries, key=lambda entry: entry[0]), start
            if name == "slow":
                stopping, slow = rng.sample(range(size), 2)
                entries.append((start + 0.5, "duty", slow,
                                (rng.uniform(1, 3), rng.uniform(0.1, 2.5), rng.uniform(0.5, 0.8))))
                entries.append((start + rng.uniform(0, 1.5), "term", stopping, planned["term"]()))
                entries.append((start, "slow", rng.randrange(size), (3.0, rng.uniform(0.1, 0.9))))
            else:
                faults, count = (planned, rng.randint(2, 4)) if name == "planned" else (mixed, rng.randint(6, 14))
                for kind in ["term"] + rng.choices(sorted(faults), k=count):
                    entries.append((start + rng.uniform(0, PHASES_S[name] - 3), kind, rng.randrange(size), faults[kind]()))
            start += PHASES_S[name] + CONTACT_RESTORED_S


def add_eras(seed, schedule, length):
    """Adds returns of the store from older copies, without changing the seed's other choices."""
    rng = random.Random(f"eras {seed}")
    for _ in range(max(1, round(length / 8)) * rng.randint(*ERAS_PER_PHASE)):
        copy = {"roll_back_ms": rng.randint(100, 5000), "rewrite_after_ms": rng.randint(0, 1000),
                "hold_txns": rng.randint(0, 3), "hold_ms": rng.randint(100, 3000)}
        schedule.append((rng.uniform(0.5, max(0.6, length - 6)), "era", 0, (copy, rng.choice((0, rng.uniform(0.1, 2))))))
    return sorted(schedule, key=lambda entry: entry[0])


def add_leaves(seed, schedule, length, size):
    """Adds targets that leave and send a late heartbeat, most of them while their nodes restart, without changing the seed's
    other choices."""
    rng = random.Random(f"leaves {seed}")
    for _ in range(max(1, round(length / LEAVE_PERIOD_S))):
        at, index = rng.uniform(0.5, max(0.6, length - 7)), rng.randrange(size)
        schedule.append((at, "leave", index, (rng.uniform(0, 3), rng.uniform(3, 6), rng.uniform(0.2, 1), rng.random() < 0.5,
                                              rng.random() < 0.2)))
        if rng.random() < 0.8:
            schedule.append((at + rng.uniform(0.02, 1), rng.choice(("kill", "term")), index, (rng.uniform(0.1, 0.6),)))
    return sorted(schedule, key=lambda entry: entry[0])


class Soak:
    """One run of the test: executes the schedule and collects the records of callers and targets."""

    def __init__(self, seed, seconds, size, eras=False, leaves=False):
        self.seed = seed
        self.schedule, self.length = make_schedule(seed, seconds, size)
        if leaves:
            self.schedule = add_leaves(seed, self.schedule, self.length, size)
        if eras:
            self.schedule = add_eras(seed, self.schedule, self.length)
        self.mesh = Mesh(size, lambda *where: SoakTarget(*where, random.Random(f"target {seed} {where[0]}")),
                         era=1 if eras else 0)
        for path in self.mesh.config["virtual_hosts"][0]["paths"]:
            path["timeout_ms"] = TIMEOUTS_MS[path["name"]]
        self.mesh.apply_config()
        self.start = 0.0
        self.faults, self.stalls, self.failures, self.requests = [], [], [], []
        self.lock = threading.Lock()
        self.restart_locks = [threading.Lock() for _ in self.mesh.nodes]  # held while a node restarts
        self.era_lock = threading.Lock()
        self.stopping = {}  # processes that got SIGTERM
        self.finished = threading.Event()

    # ---- Faults ----

    def restart(self, index, pause, end):
        """Ends a node with the given function and starts it again. Returns False if another fault is restarting it."""
        if not self.restart_locks[index].acquire(blocking=False):
            return False
        try:
            node = self.mesh.nodes[index]
            end(node)
            time.sleep(pause)
            node.start()
            wait_until(node.is_ready, f"{node.name} is ready", RECOVERY_S)
        finally:
            self.restart_locks[index].release()
        return True

    def play_term(self, fault, pause):
        def end(node):
            self.stopping[fault.index] = node.child
            node.child.send_signal(signal.SIGTERM)
            try:
                fault.code = node.child.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                fault.code = "SIGKILL after the grace"
                node.kill()
            fault.end = time.monotonic()

        self.restart(fault.index, pause, end)

    def play_kill(self, fault, pause):
        if not self.restart(fault.index, pause, lambda node: node.kill()) and fault.index in self.stopping:
            self.stopping[fault.index].kill()

    def play_freeze(self, fault, seconds):
        child = self.mesh.nodes[fault.index].child
        child.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        child.send_signal(signal.SIGCONT)

    def play_duty(self, fault, seconds, period, share):
        fault.kind = "freeze"
        while time.monotonic() < fault.start + seconds:
            self.play_freeze(fault, period * share)
            time.sleep(period * (1 - share))

    def play_hangup(self, fault, preference):
        node = self.mesh.nodes[fault.index]
        node.settings.write_text(f"{node.settings_text()}[routing]\ndomain_preference = {preference:.2f}\n")
        if self.restart_locks[fault.index].acquire(blocking=False):  # a starting process does not handle the signal yet
            node.child.send_signal(signal.SIGHUP)
            self.restart_locks[fault.index].release()

    def play_configure(self, _fault, number):
        with self.lock:
            paths = self.mesh.config["virtual_hosts"][0]["paths"]
            paths[number % len(TIMEOUTS_MS)]["target_latency_ms"] = 700 + number
            paths[len(TIMEOUTS_MS):] = [self.mesh.route(f"extra{number}", f"/extra{number}/", "safe", "ledger")]
            self.mesh.apply_config()

    def play_evacuate(self, _fault, domain, seconds):
        self.mesh.put(f"op/evacuate/{domain}", "{}")
        time.sleep(seconds)
        self.mesh.put(f"op/evacuate/{domain}")

    def play_store(self, _fault, store_fault, seconds):
        self.mesh.set_store_fault(**store_fault)
        time.sleep(seconds)
        self.mesh.set_store_fault(**{name: type(value)() for name, value in store_fault.items()})

    def play_drain(self, fault, *start):
        target = self.mesh.targets[fault.index]
        if not target.down and not target.left and target.state == "ready":
            target.drain_and_restart(*start)

    def play_leave(self, fault, *leave):
        target = self.mesh.targets[fault.index]
        if not target.down and not target.left and target.state == "ready":
            target.leave_and_restart(*leave)

    def play_crash(self, fault, *start):
        self.mesh.targets[fault.index].crash(*start)

    def play_rate(self, fault, seconds, rate):
        rates = self.mesh.targets[fault.index].rates
        rates[fault.kind] = rate
        time.sleep(seconds)
        rates.pop(fault.kind, None)

    def play_era(self, _fault, copy, away):
        with self.era_lock:
            self.mesh.set_store_fault(hold_txns=copy["hold_txns"], hold_ms=copy["hold_ms"])
            time.sleep(0.3)
            self.mesh.set_store_fault(down=away > 0)
            time.sleep(away)
            self.mesh.set_store_fault(roll_back_ms=copy["roll_back_ms"], rewrite_after_ms=copy["rewrite_after_ms"],
                                      down=False)

    def play(self, kind, index, arguments):
        fault = Fault(kind, index, time.monotonic(), kind not in ("kill", "freeze", "duty", "crash", "store", "era"))
        with self.lock:
            self.faults.append(fault)
        try:
            getattr(self, f"play_{kind}", self.play_rate)(fault, *arguments)
        except (OSError, RuntimeError, AssertionError) as error:
            self.failures.append(("recovery", f"{kind} {index}", str(error)))
        fault.end = min(fault.end, time.monotonic())

    # ---- The run ----

    def watch(self):
        last, ended = time.monotonic(), set()
        while not self.finished.wait(WATCH_PERIOD_S):
            now = time.monotonic()
            if now - last > STALL_S:
                self.stalls.append((last, now))
            last = now
            for index, node in enumerate(self.mesh.nodes):
                if self.restart_locks[index].acquire(blocking=False):
                    if node.child.poll() is not None and node.child.pid not in ended:
                        ended.add(node.child.pid)
                        self.failures.append(("ended by itself", node.name, f"code {node.child.returncode}"))
                    self.restart_locks[index].release()

    def play_schedule(self):
        threads = []
        for at, *fault in self.schedule:
            time.sleep(max(0, self.start + at - time.monotonic()))
            threads.append(threading.Thread(target=self.play, args=fault))
            threads[-1].start()
        for thread in threads:
            thread.join()
        time.sleep(max(0, self.start + self.length - time.monotonic()))

    def unserved(self):
        return [(node.name, key) for node in self.mesh.nodes for key in (*SERVED_KEYS, None)
                if not self.mesh.serves(node, "read" if key is None else "look", key)]

    def run(self):
        with self.mesh as mesh:
            time.sleep(CONFIGURATION_S)
            callers = [Caller(mesh, index, number, random.Random(f"caller {self.seed} {index} {number}"))
                       for index in range(len(mesh.nodes)) for number in range(CALLERS_PER_NODE)]
            self.start = time.monotonic()
            watcher = threading.Thread(target=self.watch)
            for thread in (watcher, *callers):
                thread.start()
            try:
                self.play_schedule()
                end = time.monotonic() + RECOVERY_S
                while (unserved := self.unserved()) and time.monotonic() < end:
                    pass
                if unserved:
                    self.failures.append(("recovery", "", f"not served after {RECOVERY_S:.0f} s: {unserved}"))
            finally:
                for caller in callers:
                    caller.stopped.set()
                for caller in callers:
                    caller.join()
                time.sleep(SETTLE_S)
                self.finished.set()
                watcher.join()
        self.requests = [request for caller in callers for request in caller.requests]
        self.failures += Checks(self.requests, mesh.targets, self.faults, self.stalls).failures

    def details(self):
        """The violations, all faults, and the requests and runs of the violations. Times are seconds from the start."""
        def plain(entry):
            return str({name: round(value - self.start, 3) if isinstance(value, float) and name in TIMES else value
                        for name, value in vars(entry).items() if name not in ("head", "body", "answer")})

        names = {name for _check, name, _text in self.failures}
        runs = [run for target in self.mesh.targets for run in target.soak_runs if run.request_id in names]
        return "\n".join([*map(str, self.failures), *map(plain, self.faults),
                          *(plain(request) for request in self.requests if request.id in names), *map(plain, runs)]) + "\n"


def play_seed(seed, seconds, size=5, eras=False, leaves=False):
    soak = Soak(seed, seconds, size, eras, leaves)
    print(f"seed {seed}: {len(soak.schedule)} faults in {soak.length:.1f} s")
    for at, kind, index, arguments in soak.schedule:
        print(f"  {at:6.2f} {kind} {index} {json.dumps(arguments)}")
    try:
        soak.run()
    except (OSError, RuntimeError, AssertionError) as error:
        soak.failures.append(("not played", "", f"{type(error).__name__}: {error}"))
    ends = collections.Counter(str(request.status) if request.outcome == "answer" else request.outcome
                               for request in soak.requests)
    print(f"seed {seed}: {len(soak.requests)} requests {dict(sorted(ends.items()))}, the soak itself was stalled for "
          f"{sum(end - begin for begin, end in soak.stalls):.1f} s")
    if not soak.failures:
        print(f"seed {seed}: passed", flush=True)
        shutil.rmtree(soak.mesh.folder)
        return True
    (soak.mesh.folder / "verdict.txt").write_text(soak.details())
    for failure in soak.failures[:20]:
        print("  " + ": ".join(failure))
    print(f"seed {seed}: FAILED with {len(soak.failures)} violations; logs, verdict.txt in {soak.mesh.folder}", flush=True)
    return False


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("case", nargs="?", choices=[*CI_SEEDS, *CI_ERA_SEEDS, *CI_LEAVE_SEEDS])
    parser.add_argument("--list", action="store_true")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="A..B, both inclusive")
    parser.add_argument("--seconds", type=float, default=28)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--eras", action="store_true", help="the store also comes back from older copies")
    parser.add_argument("--leaves", action="store_true", help="targets also leave while their nodes restart")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))  # ends the child processes too
    if options.list:
        print("\n".join([*CI_SEEDS, *CI_ERA_SEEDS, *CI_LEAVE_SEEDS]))
        return 0
    if options.case:
        seed = (CI_SEEDS | CI_ERA_SEEDS | CI_LEAVE_SEEDS)[options.case]
        passed = play_seed(seed, CI_SECONDS, eras=options.case in CI_ERA_SEEDS, leaves=options.case in CI_LEAVE_SEEDS)
        return 0 if passed else 1
    if (options.seed is None) == (options.seeds is None):
        parser.error("give --seed or --seeds")
    first, last = (options.seed, options.seed) if options.seeds is None else map(int, options.seeds.split(".."))
    failed = [str(seed) for seed in range(first, last + 1)
              if not play_seed(seed, options.seconds, options.nodes, options.eras, options.leaves)]
    print(f"{last - first + 1 - len(failed)} passed, {len(failed)} failed{': ' if failed else ''}{', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
