"""Faulty backend servers break off some of their answers, which come in chunks."""

import random
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.standins import clients, fleet  # noqa: E402
from review.standins.backend import Backend  # noqa: E402
from review.standins.record import Record  # noqa: E402
from review.standins.store import Store  # noqa: E402

ZONES = ("zone-a", "zone-b", "zone-c")
BACKENDS_PER_ZONE = 4
# Faulty are 6 of 12 backend servers; they break off one answer in 20.
FAULTY_PER_ZONE = 2
BROKEN_SHARE = 0.05
CHUNKS, CHUNK_BYTES = 64, 64
REQUESTS_PER_S = 30
PLAYED_S = 50.0
SEED = 1


def serve_chunked(backend, chosen):
    """Return a server that sends chunks; it breaks off some answers if ``chosen``.

    The size of a chunk has eight digits, as RFC 9112, section 7.1 allows. An answer is
    broken off after a random number of bytes of its body.
    """

    def serve(connection, request):
        time.sleep(0.01)
        piece = b"%08x\r\n" % CHUNK_BYTES + b"a" * CHUNK_BYTES + b"\r\n"
        body = piece * CHUNKS + b"00000000\r\n\r\n"
        head = backend.head(request, "Transfer-Encoding: chunked")
        if chosen is None or chosen.random() >= BROKEN_SHARE:
            connection.sendall(head + body)
            return True
        # Not within the last chunk, so that a part of the content is missing.
        sent = chosen.randrange(1, len(piece) * (CHUNKS - 1))
        backend.record.write("breaks-off", request=request.attempt, bytes=sent)
        connection.sendall(head + body[:sent])
        return False

    return serve


def play(trouble: bool) -> bool:
    """Return whether a client got a part of an answer as a complete success."""
    record = Record(str(FOLDER / "record.txt"))
    store = Store(record)
    for zone in ZONES:
        for number in range(BACKENDS_PER_ZONE):
            faulty = trouble and number < FAULTY_PER_ZONE
            backend = Backend(record, f"i-{zone}-{number}", "guides", zone)
            chosen = random.Random(f"{SEED} {backend.id}") if faulty else None
            backend.serve = serve_chunked(backend, chosen)
            store.put("servers", backend.id, backend.row())
    routes = {"r-guides": fleet.route("/guides/", "guides", kind="download")}
    store.put("op", "config", fleet.config(1, routes, "guides"))
    entries = []
    with tempfile.TemporaryDirectory() as folder:
        for number, zone in enumerate(ZONES):
            name, host = f"front-{zone}", f"127.0.{number + 1}.1"
            port = store.open_port(name)
            entries.append(fleet.Entry(folder, name, zone, host, port))
        try:
            fleet.start_all(entries)
            time.sleep(3)
            arguments = ("/guides/x", REQUESTS_PER_S)
            traffic = [clients.Traffic(record, item, *arguments) for item in entries]
            time.sleep(PLAYED_S)
            for item in traffic:
                item.stop()
            time.sleep(3)
        finally:
            fleet.end_all(entries)
    answers = [answer for item in traffic for answer in item.answers]
    good = [item for item in answers if item.status == 200 and item.complete]
    if len(good) < 100:
        raise fleet.CannotRun(f"only {len(good)} requests were served")
    cut = [item for item in good if len(item.body) != CHUNKS * CHUNK_BYTES]
    for item in cut:
        whole = CHUNKS * CHUNK_BYTES
        record.write("MIXED", request=item.attempt, got=len(item.body), whole=whole)
    print(
        f"{len(answers)} requests, {len(good)} successes, {len(cut)} of them cut short"
    )
    return bool(cut)


if __name__ == "__main__":
    fleet.main(play)
