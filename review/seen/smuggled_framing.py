"""A client sends a request whose body contains another request, with a space before the colon of Content-Length. The
rule is broken if a server runs the request in the body."""
import pathlib
import socket
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from deployment import BROKEN, PASSED, TROUBLE, Deployment, main  # noqa: E402

ROUNDS = 5


def request(request_id, path, body, length_name="Content-Length"):
    return (f"POST {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 1200\r\nKey: k1\r\n"
            f"{length_name}: {len(body)}\r\n\r\n{body}")


def exchange(record, node, request_id, text):
    """Sends the text and returns what comes back within a second."""
    received = b""
    with socket.create_connection(("127.0.0.1", node.outbound), timeout=1) as connection:
        record.write(f"client sends request {request_id} to {node.name}: {text!r}")
        connection.sendall(text.encode())
        try:
            while chunk := connection.recv(65536):
                received += chunk
        except TimeoutError:
            pass
    record.write(f"client gets {received!r}")


def case():
    with Deployment(FOLDER, sharded=1, balanced=1) as deployment:
        sent = set()
        for number in range(ROUNDS):
            body = request(f"inner-{number}", "/book/inner", "")
            text = request(f"outer-{number}", "/book/outer", body, "Content-Length " if TROUBLE else "Content-Length")
            sent.add(f"outer-{number}")
            exchange(deployment.record, deployment.nodes[number % 2], f"outer-{number}", text)
        smuggled = [run[1] for server in deployment.servers for run in server.runs
                    if run[1].startswith(("inner", "outer")) and run[1] not in sent]
        result = f"requests that ran from within another one: {smuggled}; rule {'broken' if smuggled else 'held'}"
        deployment.record.write(result)
        print(result)
        return BROKEN if smuggled else PASSED


main(case)
