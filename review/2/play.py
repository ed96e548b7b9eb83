"""The store gives some machines no response for a while; backend servers leave."""

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
ENTRIES_PER_ZONE = 2
# As many as the smallest service of the deployments has.
BACKENDS_PER_ZONE = 2
# 2 of 6 machines, below the share of 0.35, for at most 9 s.
SILENT_MACHINES = 2
SILENT_S = 8.5
CONTACT_S = 3.0
DRAIN_S = 2.0
# How long a backend server goes on serving after it has reported that it leaves.
LEAVES_AFTER_S = DRAIN_S + 2.0
RELEASE_GAP_S = 1.0
# Backend servers that start during traffic are cold for this long.
WARMUP_S = 3.0
REQUESTS_PER_S = 6


class Release:
    """Replaces backend servers one after the other; the new one starts first."""

    def __init__(self, store, record, backends, name) -> None:
        self._store, self._record, self._backends = store, record, backends
        self._name = name
        self.acked_at_by_backend: dict[Backend, float] = {}
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        for number, old in enumerate(self._backends):
            name = f"{self._name}-{number}"
            new = Backend(self._record, name, old.service, old.zone, cold_s=WARMUP_S)
            self._store.put("servers", new.id, new.row())
            time.sleep(RELEASE_GAP_S)
            old.draining = True
            row = old.row("draining")
            self.acked_at_by_backend[old] = self._store.put("servers", old.id, row)
            threading.Thread(target=self._leave, args=(old,), daemon=True).start()

    def _leave(self, old) -> None:
        time.sleep(LEAVES_AFTER_S)
        self._store.delete("servers", old.id)
        old.exit()

    def late(self) -> list[tuple[Backend, float, str]]:
        """Return the requests that arrived too long after the ack, and how long."""
        return [
            (backend, at - acked_at, request)
            for backend, acked_at in self.acked_at_by_backend.items()
            for at, request in backend.arrivals
            if at - acked_at > DRAIN_S
        ]


def play(trouble: bool) -> bool:
    """Return whether requests reached a backend server that had left."""
    record = Record(str(FOLDER / "record.txt"))
    store = Store(record)
    backends = []
    for number in range(BACKENDS_PER_ZONE):
        for zone in ZONES:
            backend = Backend(record, f"i-{zone}-{number}", "desk", zone)
            store.put("servers", backend.id, backend.row())
            backends.append(backend)
    routes = {"r-desk": fleet.route("/desk/", "desk", kind="non_idempotent")}
    store.put("op", "config", fleet.config(1, routes, "desk", "guides"))
    entries = []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(ENTRIES_PER_ZONE):
            for index, zone in enumerate(ZONES):
                name, host = f"front-{zone}-{number}", f"127.0.{index + 1}.{number + 1}"
                port = store.open_port(name)
                entries.append(fleet.Entry(folder, name, zone, host, port))
        try:
            fleet.start_all(entries)
            time.sleep(4)
            arguments = ("/desk/x", REQUESTS_PER_S, "POST", b"order")
            traffic = [clients.Traffic(record, item, *arguments) for item in entries]
            time.sleep(2)
            # A backend server of another service joins.
            joined = Backend(record, "i-guides", "guides", ZONES[0])
            store.put("servers", joined.id, joined.row())
            time.sleep(1)
            # The store turns away first who reads its list of backend servers.
            readers = store.watchers("servers")
            others = [item.name for item in entries if item.name not in readers]
            chosen = (readers[:1] + others + readers[1:])[:SILENT_MACHINES]
            record.write("trouble", on=int(trouble), machines=",".join(chosen))
            if trouble:
                store.silent = set(chosen)
            half = len(backends) // 2
            Release(store, record, backends[:half], "release-1")
            time.sleep(SILENT_S)
            store.silent = set()
            record.write("trouble-ends")
            time.sleep(CONTACT_S + 1)
            second = Release(store, record, backends[half:], "release-2")
            time.sleep(half * RELEASE_GAP_S + LEAVES_AFTER_S + 3)
            for item in traffic:
                item.stop()
            time.sleep(3)
        finally:
            fleet.end_all(entries)
    answers = [answer for item in traffic for answer in item.answers]
    if sum(item.status == 200 for item in answers) < 100:
        raise fleet.CannotRun("too few requests were served")
    late = second.late()
    status_by_request = {item.attempt: item.status for item in answers}
    for backend, after_s, request in late:
        status = status_by_request.get(request)
        after = round(after_s, 3)
        fields = {"backend": backend.id, "after_ack_s": after, "status": status}
        record.write("DRAIN", request=request, **fields)
    lost = sum(status_by_request.get(request) != 200 for _, _, request in late)
    print(f"{len(answers)} requests, {len(late)} of them too late at a backend server")
    print(f"that had left; {lost} of these were not answered with a success")
    return bool(late)


if __name__ == "__main__":
    fleet.main(play)
