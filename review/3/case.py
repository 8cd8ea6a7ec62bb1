"""Two servers leave and spoil one byte in up to 2 of 100 of their answers, those to releases among them. The rule is
broken if processes end by themselves."""
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import BROKEN, PASSED, TROUBLE, CannotRun, Deployment, main  # noqa: E402

MAX_SPOILT_SHARE = 0.02
MIN_ANSWERS = 250
LEAVING = 2  # of 5 servers
BETWEEN_LEAVES_S = 5
OBSERVED_S = 8
CLIENTS = 12
# The rule counts a tenth of the machines in use, two at least, with three ends each.
MIN_MACHINES = 2
MIN_ENDS = 3


class Spoiler:
    """Replaces a byte of the handovers of one server, within the allowed share of its answers."""

    def __init__(self, deployment, server):
        self.deployment, self.server, self.spoilt = deployment, server, 0

    def __call__(self, token):
        if (self.spoilt + 1) / self.server.answers > MAX_SPOILT_SHARE:
            return token
        self.spoilt += 1
        self.deployment.record.write(f"server {self.server.id} spoils a byte of handover {token}")
        return token[:3] + "\xfe" + token[4:]


def case():
    with Deployment(FOLDER, sharded=4, balanced=1, work_s=0.03) as deployment:
        stop = threading.Event()

        def client(number):
            key = number * 10923
            while not stop.is_set():
                key = (key + 7919) % 65536
                if deployment.send(deployment.nodes[LEAVING + number % 2], "look", key)[0] != 200:
                    time.sleep(0.1)

        clients = [deployment.spawn(client, number) for number in range(CLIENTS)]
        leaving = deployment.servers[:LEAVING]
        end = time.monotonic() + 30
        while any(server.answers < MIN_ANSWERS for server in leaving):
            if time.monotonic() > end:
                raise CannotRun("the servers got too few requests")
            time.sleep(0.1)
        spoilers = [Spoiler(deployment, server) for server in leaving]
        for server, spoiler in zip(leaving, spoilers):
            if TROUBLE:
                server.spoil_handover = spoiler
            deployment.record.write(f"server {server.id} drains")
            server.state = "draining"
            server.send_heartbeat()
            time.sleep(BETWEEN_LEAVES_S)
        time.sleep(OBSERVED_S)
        stop.set()
        for thread in clients:
            thread.join()
        ends = {node.name: len(node.ends) for node in deployment.nodes}
        broken = sum(count >= MIN_ENDS for count in ends.values()) >= MIN_MACHINES
        spoilt = ", ".join(f"{spoiler.spoilt} of {spoiler.server.answers}" for spoiler in spoilers)
        result = (f"answers spoilt: {spoilt}; processes that ended by themselves: {ends}; "
                  f"rule {'broken' if broken else 'held'}")
        deployment.record.write(result)
        print(result)
        return BROKEN if broken else PASSED


main(case)
