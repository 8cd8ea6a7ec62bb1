"""Another writer sends heartbeats whose bytes cannot be read. The rule is broken if processes end by themselves."""
import http.client
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import BROKEN, PASSED, TROUBLE, Deployment, call, main, wait_until  # noqa: E402

# Valid JSON but for the encoding of the zone's name, which is Latin-1.
HEARTBEAT = (b'{"address":"127.0.0.1:9000","born":1700000000000,"info":{"service":"desk","version":"v1",'
             b'"zone":"z\xfcrich-a","slots":6},"status":{"state":"ready","seq":1,"warmup_left_ms":0}}')
ROUNDS = 3
# The rule counts a tenth of the machines in use, two at least, with three ends each.
MIN_MACHINES = 2
MIN_ENDS = 3


def send_odd_heartbeat(deployment, node):
    deployment.record.write(f"another writer sends an unreadable heartbeat to {node.name}")
    try:
        status, _, _ = call(node.control, "PUT", "/api/instances/i-other", {"Content-Type": "application/json"},
                            HEARTBEAT)
    except (OSError, http.client.HTTPException) as error:
        status = type(error).__name__
    deployment.record.write(f"{node.name} answers {status}")


def case():
    with Deployment(FOLDER, sharded=2, balanced=1) as deployment:
        for _ in range(ROUNDS):
            if TROUBLE:
                for node in deployment.nodes[:MIN_MACHINES]:
                    send_odd_heartbeat(deployment, node)
            time.sleep(2)
            wait_until(lambda: all(node.is_ready() for node in deployment.nodes), "all nodes are ready again", 15)
            for node in deployment.nodes:
                deployment.send(node, "read")
        ends = {node.name: len(node.ends) for node in deployment.nodes}
        broken = sum(count >= MIN_ENDS for count in ends.values()) >= MIN_MACHINES
        result = f"processes that ended by themselves: {ends}; rule {'broken' if broken else 'held'}"
        deployment.record.write(result)
        print(result)
        return BROKEN if broken else PASSED


main(case)
