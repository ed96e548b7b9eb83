"""More than half of the machines lose power; the directory is asked afterwards."""

import socket
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

# Machines of each zone, as in the small deployment, and how many of these are lost.
MACHINES_BY_ZONE = {"tt-north-a": (6, 3), "tt-north-b": (6, 3), "tt-north-c": (3, 3)}
CONTACT_S = 3.0
# From this time after the loss, the directory must not name a lost machine.
NAMED_S = CONTACT_S + 3.0
ALLOWED_ANSWERS = 3
WATCHED_S = 14.0
# Each of some 20 clients of a machine asks again after 1.5 s.
QUERY_INTERVAL_S = 0.1
REQUESTS_PER_S = 3


class DarkMachine:
    """Takes the ports of a machine without power: connections to them hang."""

    def __init__(self, entry) -> None:
        self._sockets = []
        for use, address in entry.address.items():
            host, _, port = address.rpartition(":")
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, int(port)))
            listener.listen(0)
            self._sockets.append(listener)
            # These fill the queue of the listener, so that it drops further ones.
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((host, int(port)))
                self._sockets.append(filler)
            if use == "peer":
                datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                datagrams.bind((host, int(port)))
                self._sockets.append(datagrams)


def ask(record, entry, names, lost_at, wrong, stopped) -> None:
    """Ask the directory of an entry again and again; note answers that are wrong."""
    while not stopped.wait(QUERY_INTERVAL_S):
        try:
            addresses = entry.resolve(entry.zone)
        except OSError:
            continue
        after_s = record.now() - lost_at
        lost = sorted(names[item] for item in addresses if item in names)
        alive = len(addresses) - len(lost)
        fields = {"after_s": round(after_s, 2), "alive": alive}
        record.write("resolved", by=entry.name, lost=",".join(lost) or "-", **fields)
        if lost and alive and after_s > NAMED_S:
            wrong.append((entry.name, lost))


def play(trouble: bool) -> bool:
    """Return whether the directory named lost machines for too long."""
    record = Record(str(FOLDER / "record.txt"))
    store = Store(record)
    entries, lost = [], []
    with tempfile.TemporaryDirectory() as folder:
        for index, (zone, counts) in enumerate(MACHINES_BY_ZONE.items()):
            for number in range(1, counts[0] + 1):
                name, host = f"front-{zone}-{number}", f"127.0.{index + 1}.{number}"
                port = store.open_port(name)
                entries.append(fleet.Entry(folder, name, zone, host, port))
                if number <= counts[1]:
                    lost.append(entries[-1])
            for number in range(counts[0]):
                backend = Backend(record, f"i-{zone}-{number}", "desk", zone)
                store.put("servers", backend.id, backend.row())
        routes = {"r-desk": fleet.route("/desk/", "desk")}
        store.put("op", "config", fleet.config(1, routes, "desk"))
        survivors = [item for item in entries if item not in lost]
        stopped, wrong, traffic = threading.Event(), [], []
        try:
            fleet.start_all(entries)
            time.sleep(6)
            traffic = [
                clients.Traffic(record, item, "/desk/x", REQUESTS_PER_S)
                for item in survivors
            ]
            time.sleep(4)
            named = set(survivors[0].resolve(survivors[0].zone))
            if len(named) != len(entries):
                raise fleet.CannotRun(f"the directory names only {len(named)} machines")
            dark = []
            if trouble:
                for item in lost:
                    item.process.kill()
                    item.process.wait()
                    dark.append(DarkMachine(item))
            lost_at = record.write("power-lost", machines=len(dark))
            names = {item.address["caller"]: item.name for item in lost if trouble}
            for item in survivors:
                arguments = (record, item, names, lost_at, wrong, stopped)
                threading.Thread(target=ask, args=arguments, daemon=True).start()
            time.sleep(WATCHED_S)
            stopped.set()
            for item in traffic:
                item.stop()
            time.sleep(3)
        finally:
            fleet.end_all(entries)
    answers = [answer for item in traffic for answer in item.answers]
    if sum(item.status == 200 for item in answers) < 100:
        raise fleet.CannotRun("too few requests were served")
    by, machines = (
        {name for name, _ in wrong},
        {one for _, all_ in wrong for one in all_},
    )
    print(
        f"{len(wrong)} answers of {len(by)} directories named {len(machines)} machines"
    )
    print(f"that had been without power for more than {NAMED_S} s")
    return len(wrong) > ALLOWED_ANSWERS


if __name__ == "__main__":
    fleet.main(play)
