#!/usr/bin/env python3
"""Process tests of the mesh node: real nodes and the store stand-in on loopback, with targets simulated by this program.

`mesh_process_tests.py --list` prints the cases. `mesh_process_tests.py NAME` runs one and exits with 0, or with 1 and the
reason. The checks use the requests that the targets received and the answers that the callers got.
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

RESTART_S = 3.0  # bound for a restarted node to serve its target's keys
SLOW_NODE_S = 1.3  # longer than a node waits for another node's answer to a ping


class BackgroundLoad:
    """Callers that send requests one after the other until stopped, two per node."""

    def __init__(self, mesh, nodes, route, keyed, method="GET"):
        self.answers = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(mesh, node, route, keyed, method, number), daemon=True)
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
    """A target that after its restart sends no heartbeat until it has received a key grant."""

    def send_heartbeat(self):
        return super().send_heartbeat() if self.life == 0 or any(
            hold.life == f"{self.id}#1" for hold in self.key_holds) else 0


# ---- Cases ----


def case_a_deployment_without_faults_follows_its_configuration():
    """Guards against requests with a wrong identity, and against serving routes and keys that are not configured."""
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


def case_a_withdrawn_key_and_a_changed_route_take_effect_on_every_node():
    """Guards against a node that still uses an older configuration."""
    with Mesh() as mesh:
        mesh.config["tenants"][0]["api_keys"] = ["k2"]
        mesh.config["virtual_hosts"][0]["paths"][2]["path_prefix"] = "/moved/"
        mesh.apply_config()
        time.sleep(CONFIGURATION_S)
        for node in mesh.nodes:
            check(mesh.send(node, "look", 5).status == 401, f"{node.name} refuses the withdrawn key")
            check(mesh.send(node, "look", 5, workspace_key="k2").status == 200, f"{node.name} accepts the other key")
            check(mesh.send(node, "read", workspace_key="k2").status == 404, f"{node.name} dropped the route")
            check(mesh.send(node, "moved", workspace_key="k2").status == 200, f"{node.name} has the new route")


def case_a_killed_node_serves_its_keys_again_after_its_restart():
    """Guards against keys that move or stay unserved when only the node of a running target was killed."""
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


def case_the_keys_of_a_lost_host_are_reassigned():
    """Guards against keys without an owner, and against a second owner while the lost target's grants are still valid."""
    with Mesh() as mesh:
        owner = mesh.owner_of(30000)
        other = next(node for node in mesh.nodes if node is not owner)
        owner.kill()
        owner.target.stop.set()
        start = time.monotonic()
        wait_until(lambda: mesh.serves(other, "look", 30000), "the key is served again", LEASE_S + 4)
        with owner.target.lock:
            check(not owner.target.holds(30000), "the lost target no longer holds the key")
        check(time.monotonic() - start < LEASE_S + 2, f"after {time.monotonic() - start:.2f} s")


def case_a_store_that_comes_back_from_an_older_copy_moves_no_keys():
    """Guards against nodes that follow nothing after the store's revisions went back, against keys that move because the copy
    lacks member records, and against an older configuration that replaces a newer one."""
    with Mesh(era=1) as mesh:
        time.sleep(LEASE_S + 1)  # a coordinator knows only then that no earlier era's leases are left
        owners = {key: mesh.owner_of(key) for key in (0, 30000, 65535)}
        mesh.config["tenants"][0]["api_keys"] = ["k2"]
        mesh.apply_config()
        time.sleep(CONFIGURATION_S)
        for era in (2, 3):
            mesh.set_store_fault(roll_back_ms=4000, rewrite_after_ms=1500)
            for _ in range(20):
                for node in mesh.nodes:
                    check(mesh.send(node, "read").status == 401, f"era {era}: {node.name} refuses the withdrawn key")
            time.sleep(1)
            for node in mesh.nodes:
                for key in owners:
                    answer = mesh.send(node, "look", key, workspace_key="k2")
                    check(answer.status == 200, f"era {era}: {node.name} serves {key}: {answer.status}")
            fences = [entry["fence"] for entry in mesh.nodes[4].status()["keys"]["desk"]]
            check(all(fence >> 40 == era for fence in fences), f"era {era}: {fences}")
            check(len(set(fences)) == len(fences), f"era {era}: {fences}")
        check({key: mesh.owner_of(key) for key in owners} == owners, "no key has moved")
        mesh.config["tenants"][0]["api_keys"] = ["k1"]
        mesh.apply_config()
        time.sleep(CONFIGURATION_S)
        for node in mesh.nodes:
            check(mesh.send(node, "look", 5).status == 200, f"{node.name} follows the next configuration")


def case_a_planned_stop_cuts_off_no_request():
    """Guards against requests without an answer while a node stops (LOST)."""
    with Mesh() as mesh:
        stopping = mesh.nodes[0]
        load = BackgroundLoad(mesh, mesh.nodes[1:], "look", True)
        own_load = BackgroundLoad(mesh, [stopping], "look", True)
        time.sleep(0.5)
        stopping.child.send_signal(signal.SIGTERM)
        wait_until(lambda: not stopping.is_ready(), "the node is not ready", 2)
        time.sleep(1.0)
        own_answers = own_load.stop()
        check(stopping.child.wait(10) == 0, "the node exits with code 0")
        answers = load.stop()
        bad = [answer for answer in answers + own_answers if answer[2] != 200]
        check(len(bad) <= len(answers) / 200, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")
        check(not [answer for answer in bad if isinstance(answer[2], str)], f"cut off: {bad[:5]}")


def case_a_stopping_node_waits_for_its_requests_at_a_frozen_owner():
    """Guards against failing requests while their target still works on them (LOST, vch-renewals-grown, hunt-e578-3)."""
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


def case_a_restarted_target_does_not_hold_keys_that_moved():
    """Guards against grants to a restarted target that outlast the move of its keys to another (OWNER, mesh_soak.py
    seed 15)."""
    with Mesh(make_target=lambda *where: LateHeartbeatTarget(*where, random.Random(1))) as mesh:
        load = BackgroundLoad(mesh, mesh.nodes, "look", True)
        time.sleep(1.0)
        target = mesh.owner_of(30000).target
        target.crash(0.4, True, True)
        wait_until(lambda: any(hold.life == f"{target.id}#1" for hold in target.key_holds),
                   "the restarted target got a grant", 3)
        time.sleep(3.0)
        load.stop()
        found = Checks([], mesh.targets, [], []).failures
        check(not [failure for failure in found if failure[0] == "owner"], f"one holder each: {found}")


def case_requests_are_served_during_a_store_outage():
    """Guards against service that stops during a store outage, and against grants that outlive the lease."""
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


def case_a_configuration_change_after_a_silent_store_outage_takes_effect():
    """Guards against a watch that hangs on a connection that died during a store outage (CONFIG, sofia, own day
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


def case_lost_store_answers_leave_one_owner_per_key():
    """Guards against treating a store write as failed although it took effect."""
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


def case_a_non_idempotent_request_is_not_retried_after_a_broken_answer():
    """Guards against running a confirmation twice (TWICE), and against reporting it as not run (REFUSED)."""
    with Mesh() as mesh:
        for target in mesh.targets[:3]:
            target.break_next = 1000
        before = len(mesh.runs())
        statuses = [mesh.send(node, "confirm", 30000, method="POST", body="x").status for node in mesh.nodes]
        check(all(status in (502, 504) for status in statuses), f"no status says that the request did not run: {statuses}")
        check(len(mesh.runs()) - before == len(statuses), "each ran once")


def case_the_command_line_tool_shows_a_nodes_status():
    """Guards against a status page that magnolia-ctl cannot parse, and against failing when one node is down."""
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


def case_a_draining_target_gets_no_requests_after_the_drain_time():
    """Guards against requests that reach a target later than its drain time after the leave was acknowledged (DRAIN)."""
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
        check(len(leaving.runs) == runs, "no request reached the target after the drain time")
        bad = [answer for answer in answers if answer[2] != 200]
        check(len(bad) <= len(answers) / 100, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")


def case_a_target_that_left_before_a_restart_of_its_node_stays_out_of_use():
    """Guards against requests at a target that has left: its node restarts and gets a late heartbeat from before the leave
    (DRAIN, review/7)."""
    with Mesh(make_target=lambda *where: SoakTarget(*where, random.Random(1))) as mesh:
        leaving = {"killed": mesh.nodes[0], "stopped": mesh.nodes[3]}  # a sharded and a balanced service
        loads = [BackgroundLoad(mesh, mesh.nodes[1:3], "look", True), BackgroundLoad(mesh, mesh.nodes[1:3], "read", False)]
        late = {}
        for how, node in leaving.items():
            late[how] = node.target.next_heartbeat()
            check(node.target.leave() == 200, f"{how}: the leave is acknowledged")
            node.child.send_signal(signal.SIGKILL if how == "killed" else signal.SIGTERM)
            node.child.wait(10)
            node.start()
        wait_until(mesh.all_ready, "the restarted nodes are ready", 10)
        runs = {how: len(node.target.soak_runs) for how, node in leaving.items()}
        for how, node in leaving.items():
            status = node.target.deliver_heartbeat(node.target.id, late[how])
            check(status == 200, f"{how}: the late heartbeat is answered")
        time.sleep(3)
        for how, node in leaving.items():
            reached = len(node.target.soak_runs) - runs[how]
            check(reached == 0, f"{how}: {reached} requests reached the target after its leave was acknowledged")
        check(all(mesh.serves(mesh.nodes[1], "look", key) for key in range(0, 65536, 6000)), "all keys are served")
        check(mesh.serves(mesh.nodes[1], "read"), "balanced requests are served")
        for how, node in leaving.items():
            node.target.crash(0.1, False, True)
            wait_until(lambda node=node: node.status()["target"] in ("cold", "ready"),
                       f"{how}: the next life is in use", 5)
        for load in loads:
            load.stop()


def case_the_keys_of_a_target_that_left_before_a_restart_of_its_node_move():
    """Guards against keys without a server: the target left, and its node restarted before the keys had moved and hears nothing
    of the target any more."""
    with Mesh(make_target=lambda *where: SoakTarget(*where, random.Random(1))) as mesh:
        node = mesh.owner_of(30000)
        other = next(other for other in mesh.nodes if other is not node)
        check(node.target.leave() == 200, "the leave is acknowledged")
        node.kill()
        node.start()
        wait_until(lambda: all(mesh.serves(other, "look", key) for key in range(0, 65536, 6000)), "all keys are served",
                   RESTART_S + 3)


def case_a_leave_is_acknowledged_only_when_it_outlasts_a_restart_of_the_node():
    """Guards against an acknowledged leave that only the memory of a node holds (DRAIN, review/7), and against requests at
    a target whose leave could not be recorded yet."""
    with Mesh(make_target=lambda *where: SoakTarget(*where, random.Random(1))) as mesh:
        target = mesh.targets[3]
        load = BackgroundLoad(mesh, mesh.nodes[:3], "read", False)
        wait_until(lambda: len(target.soak_runs) > 5, "the target is in use", 5)
        mesh.set_store_fault(down=True)
        check(target.leave() != 200, "without the store the leave is not acknowledged")
        time.sleep(0.5)
        runs = len(target.soak_runs)
        time.sleep(1)
        check(len(target.soak_runs) == runs, "no request reaches the target meanwhile")
        mesh.set_store_fault(down=False)
        wait_until(lambda: target.leave() == 200, "the leave is acknowledged when the store is back", 3)
        answers = load.stop()
        bad = [answer for answer in answers if answer[2] != 200]
        check(not bad, f"{len(bad)} of {len(answers)} not served: {bad[:5]}")


def case_an_evacuated_failure_domain_gets_no_requests():
    """Guards against requests in an evacuated failure domain (EVAC)."""
    with Mesh() as mesh:
        load = BackgroundLoad(mesh, mesh.nodes, "read", False)
        mesh.put("op/evacuate/b", "{}")
        time.sleep(3)
        inside = [target for target in mesh.targets if target.domain == "b"]
        runs = [len(target.runs) for target in inside]
        time.sleep(1.5)
        answers = load.stop()
        check([len(target.runs) for target in inside] == runs, "no request reached the domain")
        check(answers[-1][2] == 200, "other domains serve")


def case_invalid_settings_fail_the_start_and_are_ignored_on_reload():
    """Guards against a node that opens its ports with invalid settings."""
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
