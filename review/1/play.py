"""Entries are stopped in turn while answers without a length are on their way."""

import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standins import clients, fleet  # noqa: E402
from review.standins.backend import Backend  # noqa: E402
from review.standins.record import Record  # noqa: E402
from review.standins.store import Store  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 64
# Mean work, deadline and objective of a "case-withdrawal".
WORK_S = 0.34
DEADLINE_MS = 8000
OBJECTIVE_MS = 800
FIRST_HALF, SECOND_HALF = b"a" * 2000, b"b" * 2000
REQUESTS_PER_S = 14
# One of three backend servers is slow, below the share of 0.4.
SLOWDOWN = 12
SLOW_S = 9.0
ROUNDS = 4
ROLL_GAP_S = 2.0
SETTLED_S = 4.0


def serve_unframed(backend):
    """Return a server whose answers have no length and end with their connection."""

    def serve(connection, request):
        work_s = backend.work_s
        connection.sendall(backend.head(request, "Connection: close") + FIRST_HALF)
        time.sleep(work_s)
        connection.sendall(SECOND_HALF)
        backend.record.write("whole", request=request.attempt, backend=backend.id)
        return False

    return serve


def slow_down(record, backend) -> None:
    """Let a backend server work more slowly for a while."""
    backend.work_s = WORK_S * SLOWDOWN
    record.write("slow", backend=backend.id, factor=SLOWDOWN)
    time.sleep(SLOW_S)
    backend.work_s = WORK_S
    record.write("slow-ends", backend=backend.id)


def roll(record, entries) -> None:
    """Stop all entries in turn, and start each again once it has ended."""

    def restart(entry) -> None:
        status = entry.process.wait()
        record.write("ended", entry=entry.name, status=status)
        entry.write_settings([item.address["peer"] for item in entries], False)
        entry.start()

    threads = []
    for entry in entries:
        record.write("SIGTERM", entry=entry.name)
        entry.signal(signal.SIGTERM)
        threads.append(threading.Thread(target=restart, args=(entry,)))
        threads[-1].start()
        time.sleep(ROLL_GAP_S)
    for thread in threads:
        thread.join()


def play(trouble: bool) -> bool:
    """Return whether a client got a part of an answer as a complete success."""
    record = Record(str(FOLDER / "record.txt"))
    store = Store(record)
    backends = []
    for zone in ZONES:
        backend = Backend(record, f"i-{zone}", "desk", zone, SLOTS, WORK_S)
        backend.serve = serve_unframed(backend)
        store.put("servers", backend.id, backend.row())
        backends.append(backend)
    options = {"kind": "non_idempotent", "timeoutMs": DEADLINE_MS}
    options["targetLatencyMs"] = OBJECTIVE_MS
    routes = {"r-desk": fleet.route("/desk/", "desk", **options)}
    store.put("op", "config", fleet.config(1, routes, "desk"))
    entries = []
    with tempfile.TemporaryDirectory() as folder:
        for number, zone in enumerate(ZONES):
            name, host = f"front-{zone}", f"127.0.{number + 1}.1"
            port = store.open_port(name)
            entries.append(fleet.Entry(folder, name, zone, host, port))
        try:
            fleet.start_all(entries)
            time.sleep(3)
            arguments = ("/desk/x", REQUESTS_PER_S, "POST", b"order", DEADLINE_MS)
            traffic = [clients.Traffic(record, item, *arguments) for item in entries]
            for number in range(ROUNDS):
                time.sleep(SETTLED_S)
                chosen = backends[number % len(backends)]
                slow = threading.Thread(target=slow_down, args=(record, chosen))
                if trouble:
                    slow.start()
                    roll(record, entries)
                    slow.join()
            for item in traffic:
                item.stop()
            time.sleep(DEADLINE_MS / 1000 + 1)
        finally:
            fleet.end_all(entries)
    answers = [answer for item in traffic for answer in item.answers]
    whole = len(FIRST_HALF + SECOND_HALF)
    good = [item for item in answers if item.status == 200 and item.complete]
    if len(good) < 100:
        raise fleet.CannotRun(f"only {len(good)} requests were served")
    cut = [item for item in good if len(item.body) != whole]
    for item in cut:
        record.write("MIXED", request=item.attempt, got=len(item.body), whole=whole)
    print(
        f"{len(answers)} requests, {len(good)} successes, {len(cut)} of them cut short"
    )
    return bool(cut)


if __name__ == "__main__":
    fleet.main(play)
