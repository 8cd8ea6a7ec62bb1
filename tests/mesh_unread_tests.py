#!/usr/bin/env python3
"""Crowds whose bytes stay unread in the receive buffers of a node's connections.

On the users' machines bytes that were received and not yet read count as memory of the process, beside its resident
size. The nodes have the least memory that their settings allow, so that a small crowd exceeds it. Run one case at a
time, apart from other load.
"""
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import mesh_memory_tests as memory  # noqa: E402
from mesh_memory_tests import Crowd, MemoryMesh, check  # noqa: E402
from mesh_world import Target  # noqa: E402

LIMIT_MB = 64  # the least that the settings allow
CROWD = 1000
BODY_BYTES = 128 << 10
SAMPLE_S = 0.05


def unread_bytes(ports):
    """Returns the bytes that wait unread at connections whose local port is one of these."""
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[1].split(":")[1], 16) in ports and fields[3] != "0A":
            total += int(fields[4].split(":")[1], 16)
    return total


def resident_bytes(node):
    for line in pathlib.Path(f"/proc/{node.child.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) << 10
    return 0


class Monitor:
    """Samples what each node holds, its unread bytes included, until the end of the block."""

    def __init__(self, nodes):
        self.nodes, self.peaks, self.stopped = nodes, {node.name: 0 for node in nodes}, threading.Event()
        self.thread = threading.Thread(target=self.run)

    def run(self):
        while not self.stopped.wait(SAMPLE_S):
            for node in self.nodes:
                held = resident_bytes(node) + unread_bytes({node.ports["ingress"], node.ports["peer"]})
                self.peaks[node.name] = max(self.peaks[node.name], held)

    def __enter__(self):
        self.thread.start()
        return self

    def __exit__(self, *_exc):
        self.stopped.set()
        self.thread.join()


def run_crowd(messages, make_target=Target):
    mesh = MemoryMesh(make_target=make_target)
    for node in mesh.nodes:
        node.settings.write_text(node.settings_text() + f"[memory]\nlimit_mb = {LIMIT_MB}\n")
    with mesh:
        with Monitor(mesh.nodes) as monitor, Crowd(mesh.nodes[0].ports["ingress"], messages):
            time.sleep(1)
        mesh.check_bounds()
        held = {name: peak >> 20 for name, peak in monitor.peaks.items()}
        print(f"peak MB with unread bytes: {held}")
        check(max(monitor.peaks.values()) <= LIMIT_MB << 20, f"MB with unread bytes within {LIMIT_MB}: {held}")


def case_unread_bytes_of_bodies_that_stop_short_count_within_memory():
    """Guards against a process that ends because bodies wait unread in the buffers of many connections."""
    run_crowd([memory.with_length(number, BODY_BYTES - 1, BODY_BYTES) for number in range(CROWD)])


def case_unread_bytes_of_whole_bodies_count_within_memory():
    """Guards against a process that ends because whole bodies wait unread, at the first or the second node."""
    def slow_target(*where):
        target = Target(*where)
        target.work_s = 1.0
        return target

    run_crowd([memory.with_length(number, BODY_BYTES, BODY_BYTES) for number in range(CROWD)], make_target=slow_target)


def case_unread_bytes_of_chunked_bodies_count_within_memory():
    """Guards against a process that ends because chunked bodies wait unread in the buffers of many connections."""
    run_crowd([memory.in_chunks(number, BODY_BYTES, 4096) for number in range(CROWD)])


def cases():
    return {name[len("case_"):]: function for name, function in globals().items() if name.startswith("case_")}


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
