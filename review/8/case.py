"""A liveness report that the store performs late brings a server back that has left."""

import os
import random
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins2.servers import Endpoint
from standins2.store import Store
from standins2.system import (
    CannotRunError,
    Client,
    Record,
    System,
    config,
    route,
    run,
    wait_for,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 1.5
# The report that gets no answer is performed so much later; the bench's kinds say 1 to
# 6 s.
LATE_S = 5.9
LEAVES_AFTER_S = 3.3
# A server that has left goes on serving for drainMs and "a little longer (at times many
# seconds)".
SERVES_ON_S = 8.0
CLIENTS = 30


def main():
    record = Record(HERE / "record.txt")
    store = Store()
    system = System(store, 9)
    endpoints = [Endpoint(store, "catalogue", "zone-a", work_s=0.16) for _ in range(5)]
    sent_at = {}
    stopped = threading.Event()
    try:
        store.put_json(
            "op",
            "config",
            config(12, {"r1": route("/lepu270/", "catalogue")}, ["catalogue"]),
        )
        for endpoint in endpoints:
            endpoint.start()
        system.start()
        clients = [Client(system.entries[number % 9]) for number in range(CLIENTS)]
        wait_for(lambda: clients[0].send("/lepu270/2f")[1] == 200, "answer")
        time.sleep(2.0)

        def press(client):
            while not stopped.is_set():
                at = time.monotonic()
                request, status, _, _ = client.send("/lepu270/2f")
                sent_at[request] = at
                record.note(f"sent {request} to {client.entry.name}: {status}", at)
                if status != 200:
                    time.sleep(random.uniform(0.1, 0.3))

        threads = [threading.Thread(target=press, args=(client,)) for client in clients]
        for thread in threads:
            thread.start()
        time.sleep(2.0)
        left_at = leave(endpoints[0], store, record)
        time.sleep(max(0.0, left_at + SERVES_ON_S - time.monotonic()))
        stopped.set()
        for thread in threads:
            thread.join()
        endpoints[0].stop()
        return judge(endpoints, sent_at, left_at, record)
    except CannotRunError as error:
        record.note(f"cannot run: {error}")
        return 2
    finally:
        stopped.set()
        system.stop()
        for endpoint in endpoints:
            endpoint.stop()
        store.stop()


def leave(endpoint, store, record):
    """Let a server leave; return when the store acknowledged it."""
    late = threading.Timer(
        LATE_S, perform_late, (endpoint, endpoint.row(), store, record)
    )
    if TROUBLE:
        record.note(f"a liveness report of {endpoint.id} gets no answer")
        late.daemon = True
        late.start()
    time.sleep(LEAVES_AFTER_S)
    endpoint.leaving = True
    store.put("servers", endpoint.id, None)
    left_at = time.monotonic()
    record.note(f"the entry of {endpoint.id} is removed; the store acknowledges it")
    return left_at


def perform_late(endpoint, row, store, record):
    """Perform a report, and remove the entry after three intervals of silence."""
    store.put_json("servers", endpoint.id, row)
    record.note(f"the store performs the report of {endpoint.id}")
    time.sleep(3 * HEARTBEAT_S)
    store.put("servers", endpoint.id, None)
    record.note(f"the entry of {endpoint.id} is removed after three intervals")


def judge(endpoints, sent_at, left_at, record):
    """Check DRAIN: nothing reaches a server later than drainMs after the ack."""
    for endpoint in endpoints:
        for request, at, ran in endpoint.seen:
            record.note(f"{request} reaches {endpoint.id}, runs: {ran}", at)
    late = [
        (request, at - left_at)
        for request, at, _ in endpoints[0].seen
        if at > left_at + DRAIN_S and sent_at.get(request, 0.0) > left_at
    ]
    for request, after in late:
        record.note(
            f"DRAIN: {request} reaches {endpoints[0].id} {after:.3f} s after the ack"
        )
    record.note(f"verdict: {len(late)} requests reached the server that had left")
    print(
        f"{len(late)} requests reached the server later than {DRAIN_S} s after the ack"
    )
    return 1 if late else 0


if __name__ == "__main__":
    run(main)
