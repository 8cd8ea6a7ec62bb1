"""An upstream leaves, and the node beside it restarts. A late heartbeat of the upstream then arrives at the new process.
Checks DRAIN: no request reaches the upstream later than drain_ms after its leave was acknowledged."""
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import mesh_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = mesh_case.BOUNDS["drain_ms"] / 1000
CONTACT_S = 3.0  # contact_ms: before that, a restarted machine is not in touch
DOWN_S = 0.5  # until the killed process is started again
LATE_BEAT_S = 3.0
STAYS_S = 9.0  # from the acknowledgement until the upstream ends: "at times many seconds" beyond drain_ms


def main():
    routes = [mesh_case.route("read", "/read/", "safe", "ledger", 2500, 800),
              mesh_case.route("book", "/book/", "unsafe", "ledger", 2500, 800)]
    machines = [(f"ledger-{letter}", "ledger", False, 0.3) for letter in "abcd"]
    with mesh_case.Case(pathlib.Path(__file__).resolve().parent, machines, routes) as case:
        leaving, node = case.upstreams[0], case.nodes[0]
        # The last node is in the zone of the upstream that leaves, and has more callers than its own upstream can serve.
        for client, rate in zip(case.nodes[1:], (6, 6, 11)):
            case.load(rate, lambda client=client: case.request(client, "/read/x"))
            case.load(rate, lambda client=client: case.request(client, "/book/x", "POST", body=b"order"))
        mesh_case.wait_until(lambda: len(leaving.runs) > 5, "the upstream is in use", 15)
        time.sleep(3)
        threading.Thread(target=leaving.beat, args=(LATE_BEAT_S,), daemon=True).start()
        time.sleep(0.1)
        acknowledged = leaving.leave()
        started = acknowledged - CONTACT_S
        if TROUBLE:
            time.sleep(0.2)
            node.kill()
            case.record.write("killed", node=node.name)
            time.sleep(DOWN_S)
            node.start()
            started = time.monotonic()
            case.record.write("started", node=node.name)
        time.sleep(max(0.0, acknowledged + STAYS_S - time.monotonic()))
        leaving.end()
        case.record.write("ended", at=leaving.name)
        cut = [run for run in leaving.runs if run.ended is None]
        time.sleep(2)
        bound = max(acknowledged + DRAIN_S, started + CONTACT_S)
        late = [run for run in leaving.runs if run.begun > bound]
        others = sum(1 for upstream in case.upstreams[1:] for run in upstream.runs if run.begun > acknowledged)
        if others < 20:
            raise mesh_case.CannotRun(f"only {others} requests ran at the other upstreams")
        if late:
            case.break_rule(f"{len(late)} requests reached {leaving.name} up to {late[-1].begun - acknowledged:.1f} s after "
                            f"its leave was acknowledged; {len(cut)} were at work there when it ended")
    for text in case.broken:
        print(text)
    print("DRAIN broken" if case.broken else "DRAIN held")
    return 1 if case.broken else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except mesh_case.CannotRun as error:
        print("could not run:", error)
        sys.exit(2)
