#!/usr/bin/env python3
"""Process-level proofs of the mesh node: real nodes and the store stand-in on loopback, targets played by this program.

`mesh_process_tests.py --list` prints the cases, `mesh_process_tests.py NAME` runs one and exits with 0 or 1 and a reason.
Verdicts rest on what the targets saw and on what callers were told.
"""
import http.client
import inspect
import random
import signal
import subprocess
import sys
import threading
import time

from mesh_soak_checks import Checks
from mesh_soak_load import SoakTarget
from mesh_world import BUILD, CONFIGURATION_S, CONTACT_RESTORED_S, LEASE_S, PORTS, Mesh, wait_until

RESTART_S = 3.0  # a node that starts again serves its target's keys
SLOW_NODE_S = 1.3  # longer than a node waits for a sign of life of another one


class BackgroundLoad:
    """Callers that send one request after the other until they are stopped."""

    def __init__(self, mesh, nodes, route, keyed, method="GET"):
        self.answers = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(mesh, node, route, keyed, method, number))
                        for number, node in enumerate(nodes * 2)]
        for thread in self.threads:
            thread.start()

    def run(self, mesh, node, route, keyed, method, number):
        key = number * 7919 % 65536
        while not self.stopped.is_set():
            key = (key + 4099) % 65536
            start = time.monotonic()
            try:
                status = mesh.send(node, route, key if keyed else None, method=method).status
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            self.answers.append((start, node.name, status))
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        return self.answers


def check(condition, message):
    if not condition:
        raise AssertionError(message)


class LateHeartbeatTarget(SoakTarget):
    """A target whose second life sends its first heartbeat only after it got a grant."""

    def send_heartbeat(self):
        return super().send_heartbeat() if self.life == 0 or any(
            hold.life == f"{self.id}#1" for hold in self.key_holds) else 0


# ---- Cases ----


def case_a_calm_deployment_serves_and_refuses_as_configured():
    """Guards against requests under a wrong identity, and against routes and keys that are not configured."""
    with Mesh() as mesh:
        for node in mesh.nodes:
            check(mesh.send(node, "look", 123, workspace_key="wrong").status == 401, "a wrong key is refused")
            check(mesh.send(node, "look", 123, workspace_key=None).status == 401, "a missing key is refused")
            check(mesh.send(node, "nowhere", 1).status == 404, "an unknown route is refused")
            check(mesh.send(node, "look", 1, host="other").status == 404, "an unknown host is refused")
            check(mesh.send(node, "confirm", 9, method="POST", body="x" * 1000).status == 200, "a body is passed on")
        for _request_id, _path, headers in mesh.runs():
            check("Key" not in headers and headers["Tenant"] == "guild", f"identity at the target: {headers}")
            check(int(headers["Deadline-Ms"]) <= 1500, "no more time than the caller gives")
        ids = [run[0] for run in mesh.runs()]
        check(len(ids) == len(set(ids)), "nothing ran twice")


def case_a_withdrawn_key_and_a_changed_route_are_in_force_everywhere():
    """Guards against a node that still acts on an older configuration."""
    with Mesh() as mesh:
        mesh.config["tenants"][0]["api_keys"] = ["k2"]
        mesh.config["virtual_hosts"][0]["paths"][2]["path_prefix"] = "/moved/"
        mesh.apply_config()
        time.sleep(CONFIGURATION_S)
        for node in mesh.nodes:
            check(mesh.send(node, "look", 5).status == 401, f"{node.name} refuses the withdrawn key")
            check(mesh.send(node, "look", 5, workspace_key="k2").status == 200, f"{node.name} takes the other key")
            check(mesh.send(node, "read", workspace_key="k2").status == 404, f"{node.name} dropped the route")
            check(mesh.send(node, "moved", workspace_key="k2").status == 200, f"{node.name} has the new route")


def case_a_node_that_is_killed_serves_its_keys_again_after_its_restart():
    """Guards against keys that move or stay away when only the node beside a live target was lost."""
    with Mesh() as mesh:
        owner = mesh.owner_of(30000)
        other = next(node for node in mesh.nodes if node is not owner)
        fences = {entry["first"]: entry["fence"] for entry in other.status()["keys"]["desk"]}
        owner.kill()
        owner.start()
        start = time.monotonic()
        wait_until(lambda: mesh.serves(other, "look", 30000), "the key is served again", RESTART_S + 3)
        check(time.monotonic() - start < RESTART_S, f"after {time.monotonic() - start:.2f} s")
        again = {entry["first"]: entry["fence"] for entry in other.status()["keys"]["desk"]}
        check(all(again.get(first) == fence for first, fence in fences.items()), f"nothing moved: {fences} {again}")


def case_the_keys_of_a_lost_host_are_served_by_others():
    """Guards against keys without an owner, and against two owners while the lost one's grants may hold."""
    with Mesh() as mesh:
        owner = mesh.owner_of(30000)
        other = next(node for node in mesh.nodes if node is not owner)
        owner.kill()
        owner.target.stop.set()
        start = time.monotonic()
        wait_until(lambda: mesh.serves(other, "look", 30000), "the key is served again", LEASE_S + 4)
        with owner.target.lock:
            check(not owner.target.holds(30000), "the lost target holds the key no longer")
        check(time.monotonic() - start < LEASE_S + 2, f"after {time.monotonic() - start:.2f} s")


def case_a_planned_stop_cuts_no_request():
    """Guards against requests that end without an answer while a node stops (LOST)."""
    with Mesh() as mesh:
        stopping = mesh.nodes[0]
        load = BackgroundLoad(mesh, mesh.nodes[1:], "look", True)
        own = BackgroundLoad(mesh, [stopping], "look", True)
        time.sleep(0.5)
        stopping.child.send_signal(signal.SIGTERM)
        wait_until(lambda: not stopping.is_ready(), "the node is not ready", 2)
        time.sleep(1.0)
        own_answers = own.stop()
        check(stopping.child.wait(10) == 0, "the node ends with code 0")
        answers = load.stop()
        bad = [answer for answer in answers + own_answers if answer[2] != 200]
        check(len(bad) <= len(answers) / 200, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")
        check(not [answer for answer in bad if isinstance(answer[2], str)], f"cut: {bad[:5]}")


def case_a_stopping_node_waits_for_requests_at_a_slow_owner():
    """Guards against requests that are given up while their target is at work on them (LOST, vch-renewals-grown,
    hunt-e578-3)."""
    with Mesh() as mesh:
        for route in mesh.config["virtual_hosts"][0]["paths"]:
            route.update(timeout_ms=4000, target_latency_ms=300)
        mesh.apply_config()
        time.sleep(CONFIGURATION_S)
        owner = mesh.owner_of(30000)
        stopping = next(node for node in mesh.nodes if node is not owner)
        before = len(owner.target.runs)
        statuses = {}

        def send(route, method):
            statuses[route] = mesh.send(stopping, route, 30000, method=method, deadline_ms=4000).status

        stopping.child.send_signal(signal.SIGTERM)
        owner.child.send_signal(signal.SIGSTOP)
        callers = [threading.Thread(target=send, args=request) for request in (("look", "GET"), ("confirm", "POST"))]
        for caller in callers:
            caller.start()
        time.sleep(SLOW_NODE_S)
        owner.child.send_signal(signal.SIGCONT)
        for caller in callers:
            caller.join()
        check(statuses == {"look": 200, "confirm": 200}, f"the targets' answers: {statuses}")
        check(len(owner.target.runs) - before == 2, f"each ran once: {owner.target.runs[before:]}")


def case_the_next_life_of_a_target_does_not_hold_keys_of_another():
    """Guards against grants to the next life of a target that outlast the move of its keys (OWNER, mesh_soak.py seed 15)."""
    with Mesh(make_target=lambda *where: LateHeartbeatTarget(*where, random.Random(1))) as mesh:
        load = BackgroundLoad(mesh, mesh.nodes, "look", True)
        time.sleep(1.0)
        target = mesh.owner_of(30000).target
        target.crash(0.4, True, True)
        wait_until(lambda: any(hold.life == f"{target.id}#1" for hold in target.key_holds),
                   "the next life got a grant", 3)
        time.sleep(3.0)
        load.stop()
        found = Checks([], mesh.targets, [], []).failures
        check(not [failure for failure in found if failure[0] == "owner"], f"one holder each: {found}")


def case_requests_are_served_while_the_store_is_away():
    """Guards against service that stops with the store, and against grants that outlive the lease."""
    with Mesh() as mesh:
        load = BackgroundLoad(mesh, mesh.nodes, "look", True)
        time.sleep(0.3)
        mesh.set_store_fault(down=True)
        time.sleep(3)
        mesh.set_store_fault(down=False)
        time.sleep(1)
        answers = load.stop()
        bad = [answer for answer in answers if answer[2] != 200]
        check(len(answers) > 100, "there was load")
        check(not bad, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")


def case_a_configuration_after_a_silent_store_outage_is_in_force():
    """Guards against a watch that hangs on a connection that went silent while the store was away (CONFIG, sofia, own day
    store-away-twice, seed 864006944446)."""
    with Mesh() as mesh:
        mesh.set_store_fault(silent=True)
        time.sleep(LEASE_S + 1.5)
        mesh.set_store_fault(silent=False)
        mesh.config["tenants"][0]["api_keys"] = ["k2"]
        mesh.apply_config()
        time.sleep(CONTACT_RESTORED_S)
        for node in mesh.nodes:
            check(mesh.send(node, "read").status == 401, f"{node.name} refuses the withdrawn key")
            check(mesh.send(node, "read", workspace_key="k2").status == 200, f"{node.name} takes the other key")


def case_a_lost_answer_of_the_store_leaves_one_owner():
    """Guards against a write that is taken as failed although it took effect."""
    with Mesh() as mesh:
        mesh.set_store_fault(lose_answers=6)
        mesh.nodes[0].kill()
        mesh.nodes[0].start()
        mesh.targets[1].state = "draining"
        time.sleep(3)
        wait_until(lambda: all(mesh.serves(mesh.nodes[4], "look", key) for key in range(0, 65536, 6000)),
                   "all keys are served", 8)
        holders = [[target.id for target in mesh.targets[:3] if target.holds(key)] for key in range(0, 65536, 1000)]
        check(all(len(holder) == 1 for holder in holders), f"one holder each: {holders}")


def case_a_request_that_may_run_once_is_not_sent_again():
    """Guards against a confirmation that is doubled after a broken answer (TWICE), and a false promise (REFUSED)."""
    with Mesh() as mesh:
        for target in mesh.targets[:3]:
            target.break_next = 1000
        before = len(mesh.runs())
        statuses = [mesh.send(node, "confirm", 30000, method="POST", body="x").status for node in mesh.nodes]
        check(all(status in (502, 504) for status in statuses), f"nothing is promised: {statuses}")
        check(len(mesh.runs()) - before == len(statuses), "each ran once")


def case_the_command_line_shows_a_nodes_status():
    """Guards against a status page that the command line cannot read, and against one dead node hiding the others."""
    with Mesh() as mesh:
        addresses = [f"127.0.0.1:{PORTS.pick()}", f"127.0.0.1:{mesh.nodes[1].ports['metrics']}"]
        shown = subprocess.run([str(BUILD / "magnolia-ctl"), "--node", ",".join(addresses), "mesh", "status"],
                               capture_output=True, text=True, timeout=20)
        check(shown.returncode == 0, f"exit code {shown.returncode}: {shown.stderr}")
        check(mesh.nodes[1].name in shown.stdout.splitlines()[0], f"the node that answered: {shown.stdout}")
        check("every service has targets" in shown.stdout, f"all is served: {shown.stdout}")
        check("renewal" in shown.stdout, f"calls by kind: {shown.stdout}")
        none = subprocess.run([str(BUILD / "magnolia-ctl"), "--node", addresses[0], "mesh", "status"],
                              capture_output=True, text=True, timeout=20)
        check(none.returncode == 3 and addresses[0] in none.stderr, f"no node answers: {none.returncode} {none.stderr}")
        bad = subprocess.run([str(BUILD / "magnolia-ctl"), "--node", "here", "mesh", "status"],
                             capture_output=True, text=True, timeout=20)
        check(bad.returncode == 2, f"bad address: {bad.returncode}")


def case_a_draining_target_gives_its_keys_away():
    """Guards against requests that reach a target after its leave was acknowledged (DRAIN)."""
    with Mesh() as mesh:
        leaving = mesh.targets[0]
        load = BackgroundLoad(mesh, mesh.nodes, "look", True)
        time.sleep(0.3)
        leaving.state = "draining"
        check(leaving.send_heartbeat() == 200, "the leave is acknowledged")
        time.sleep(2.0)
        runs = len(leaving.runs)
        time.sleep(1.5)
        answers = load.stop()
        check(len(leaving.runs) == runs, "nothing reached the target later than its bound")
        bad = [answer for answer in answers if answer[2] != 200]
        check(len(bad) <= len(answers) / 100, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")


def case_an_evacuated_domain_gets_nothing():
    """Guards against requests in a failure domain that was taken out (EVAC)."""
    with Mesh() as mesh:
        load = BackgroundLoad(mesh, mesh.nodes, "read", False)
        mesh.put("op/evacuate/b", "{}")
        time.sleep(3)
        inside = [target for target in mesh.targets if target.domain == "b"]
        runs = [len(target.runs) for target in inside]
        time.sleep(1.5)
        answers = load.stop()
        check([len(target.runs) for target in inside] == runs, "nothing reached the domain")
        check(answers[-1][2] == 200, "others serve")


def case_settings_faults_end_the_start_and_a_bad_reload_is_refused():
    """Guards against a node that opens ports with settings that it cannot use."""
    with Mesh() as mesh:
        node = mesh.nodes[0]
        good = node.settings.read_text()
        node.settings.write_text(good.replace("drain_ms = 2000", "drain_ms = soon"))
        refused = subprocess.run([str(BUILD / "magnolia-mesh"), "--settings", str(node.settings)], capture_output=True,
                                 text=True, timeout=10, check=False)
        check(refused.returncode == 2 and "drain_ms" in refused.stderr, f"{refused.returncode} {refused.stderr}")
        node.child.send_signal(signal.SIGHUP)
        time.sleep(0.7)
        check(mesh.serves(node, "look", 1), "the node serves with its old settings")
        check("reload_refused" in (mesh.folder / "n0.log").read_text(), "the refusal is logged")
        node.settings.write_text(good)


def cases():
    return {name[len("case_"):]: function for name, function in inspect.getmembers(sys.modules[__name__], inspect.isfunction)
            if name.startswith("case_")}


def main():
    if sys.argv[1:] == ["--list"]:
        print("\n".join(cases()))
        return 0
    try:
        cases()[sys.argv[1]]()
    except (AssertionError, RuntimeError, OSError) as error:
        print(f"{type(error).__name__}: {error}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
