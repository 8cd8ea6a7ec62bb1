"""Another writer sends heartbeats that name an unknown service. The rule is broken if two servers then hold the same
keys."""
import http.client
import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import BROKEN, HEARTBEAT_S, PASSED, TROUBLE, Deployment, call, main, overlaps  # noqa: E402

HEARTBEATS = 8
# Rule OWNER: two servers that are up hold the same keys for over half a second.
MAX_OVERLAP_S = 0.5


def send_odd_heartbeat(deployment, node, born, sequence):
    body = {"address": "127.0.0.1:9", "born": born,
            "info": {"service": "not-configured", "version": "v1", "zone": node.zone, "slots": 6},
            "status": {"state": "ready", "seq": sequence, "warmup_left_ms": 0}}
    try:
        status, _, _ = call(node.control, "PUT", "/api/instances/i-other", {"Content-Type": "application/json"},
                            json.dumps(body))
    except (OSError, http.client.HTTPException) as error:
        status = type(error).__name__
    deployment.record.write(f"another writer sends a heartbeat of service not-configured to {node.name}: {status}")


def case():
    with Deployment(FOLDER, sharded=3, balanced=1) as deployment:
        born = int(time.time() * 1000)
        for sequence in range(1, HEARTBEATS + 1):
            if TROUBLE:
                send_odd_heartbeat(deployment, deployment.nodes[0], born, sequence)
            end = time.monotonic() + HEARTBEAT_S
            while time.monotonic() < end:
                for key in range(1000, 65536, 8000):
                    deployment.send(deployment.nodes[1], "confirm", key, "POST", b"x")
        time.sleep(1)
        found = overlaps(deployment.servers)
        for seconds, first, last, one, other, start in found:
            deployment.record.write(f"{one} and {other} both hold keys {first}-{last} for {seconds:.3f} s from "
                                    f"{start:.3f}")
        broken = bool(found) and found[0][0] > MAX_OVERLAP_S
        result = f"longest common hold {found[0][0] if found else 0:.3f} s; rule {'broken' if broken else 'held'}"
        deployment.record.write(result)
        print(result)
        return BROKEN if broken else PASSED


main(case)
