"""A read's bookkeeping undoes an accepted write while the shared store answers slowly."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import kit

KEYS = 12
NODES = 4
STORE_DELAY_S = 0.4  # of each reply; the program itself waits for a reply of this store for 1 s
PAUSE_S = 0.2  # from the first read of an object to the completion of its second upload
FIRST = b"first upload"
SECOND = b"second upload"


def target(key, query=""):
    """Return an object's path."""
    return f"/volumes/tracks/objects/{key}{query}"


def begin_upload(sidecar, key, body):
    """Start an upload, write its only part and return its id."""
    status, document = sidecar.http("POST", target(key, "?uploads"))
    if status != 200:
        raise kit.CouldNotRunError(f"starting an upload was answered {status}")
    upload = document.partition(b"<UploadId>")[2].partition(b"<")[0].decode()
    if sidecar.http("PUT", target(key, f"?partNumber=1&uploadId={upload}"), body)[0] != 200:
        raise kit.CouldNotRunError("a part was not written")
    return upload


def complete(sidecar, key, upload):
    """Complete an upload and return the status."""
    document = b"<CompleteMultipartUpload/>"
    return sidecar.http("POST", target(key, f"?uploadId={upload}"), document)[0]


def start(record, folder, stack):
    """Start the stand-ins and two sidecars; return the store, the nodes and the sidecars."""
    store = kit.Store(record)
    nodes = [kit.ObjectServer(record, f"node-{number}") for number in range(NODES)]
    entries = [
        kit.node_entry(f"s-{number}", number, node.address, node.address) for number, node in enumerate(nodes)
    ]
    discovery = kit.Discovery(record, entries)
    for part in (store, discovery, *nodes):
        stack.callback(part.close)
    sidecars = []
    for number in range(2):
        document = {
            "name": f"sidecar-{number}",
            "listen": "127.0.0.1:0",
            "discovery": discovery.address,
            "seed": f"{number + 1}",
            "limits": {"sockets": 1024},
            "objects": kit.objects_table(store.address, {"tracks": ("00000003b4d60021", "standard")}),
            "settings": kit.settings(2, number),
        }
        sidecars.append(kit.Scheduler(record, folder, document))
        stack.callback(sidecars[-1].close)
    kit.wait_until(lambda: sidecars[0].http("PUT", target("probe"), b"x")[0] == 200, 10, "a first write")
    kit.wait_until(lambda: sidecars[1].http("GET", target("probe"))[0] == 200, 10, "a first read")
    return store, nodes, sidecars


def play(record, folder, stack):
    """Play the case and return the violations."""
    store, nodes, (one, other) = start(record, folder, stack)
    keys = [f"report-{number}" for number in range(KEYS)]
    with ThreadPoolExecutor(2 * KEYS) as clients:
        # Two clients upload each object; the second upload starts after the first one.
        first = dict(zip(keys, clients.map(lambda key: begin_upload(one, key, FIRST), keys), strict=True))
        second = dict(zip(keys, clients.map(lambda key: begin_upload(other, key, SECOND), keys), strict=True))
        # The second upload matters only where the scheduler has put it on another node than the first.
        keys = [key for key in keys if holder(nodes, first[key]) is not holder(nodes, second[key])]
        record("case", f"{len(keys)} objects whose two uploads lie on different nodes: {' '.join(keys)}")
        if not keys:
            raise kit.CouldNotRunError("each pair of uploads lies on one node")
        if any(complete(one, key, first[key]) != 200 for key in keys):
            raise kit.CouldNotRunError("a first upload was not completed")
        # Connections to the store are opened while it is quick.
        list(clients.map(lambda key: one.http("GET", target(f"none-{key}")), keys * 3))
        list(clients.map(lambda key: other.http("GET", target(f"none-{key}")), keys * 3))
        if kit.has_trouble():
            record("case", f"each reply of the store comes {STORE_DELAY_S} s late from here on")
            store.delay_s = STORE_DELAY_S
        readers = [threading.Thread(target=one.http, args=("GET", target(key))) for key in keys]
        for reader in readers:
            reader.start()
        time.sleep(PAUSE_S)
        statuses = dict(
            zip(keys, clients.map(lambda key: complete(other, key, second[key]), keys), strict=True)
        )
        for reader in readers:
            reader.join()
        store.delay_s = 0.0
        record("case", "the store is quick again; every request so far has its answer")
    return judge(record, (one, other), {key for key in keys if statuses[key] == 200})


def judge(record, sidecars, accepted):
    """Return the violations: reads of an object that do not give its last accepted write."""
    violations = []
    for key in sorted(accepted):
        for sidecar in sidecars:
            status, data = sidecar.http("GET", target(key))
            if status in (200, 404) and (status, data) != (200, SECOND):
                violations.append(
                    f"{key}: the second upload was accepted (200) after the first one, and {sidecar.name} "
                    f"now reads {status} {data!r}"
                )
    record("case", f"{len(accepted)} second uploads accepted")
    if not accepted:
        raise kit.CouldNotRunError("no second upload was accepted")
    return violations


def holder(nodes, upload):
    """Return the node that has an upload."""
    return next(node for node in nodes if upload in node.uploads)


if __name__ == "__main__":
    kit.run_case(Path(__file__).parent, play)
