"""End-to-end tests of the object API: the program, object servers, the shared store and discovery."""

import http.client
import re
import select
import socket
import threading
import time
from pathlib import Path
from types import SimpleNamespace

import pytest

from tests.support.lab import Redis
from tests.support.object_server import ObjectResponse, ObjectServer
from tests.support.object_world import ITEM, World
from tests.support.standins import Discovery, Program, RespNode, config, entry, settings, until


@pytest.fixture
def world(tmp_path, request):
    world = World(tmp_path, **getattr(request, "param", {}))
    yield world
    world.close()


# The stand-ins serve thousands of requests per second, so that a node would leave slow start early. With this
# setting only ColdUnits limits it.
ONLY_COLD_UNITS = {"Safety": settings()["Safety"] | {"FallMultiple": 0.001}}


def start_upload(world):
    status, _, body = world.request("POST", ITEM + "?uploads")
    assert status == 200
    return re.search(rb"<UploadId>(\w+)</UploadId>", body)[1].decode()


def test_an_object_is_written_read_by_ranges_and_deleted(world):
    conn = world.http()
    assert world.request("GET", conn=conn)[0] == 404
    status, headers, _ = world.request("PUT", body=b"0123456789", conn=conn)
    assert (status, headers["ETag"]) == (200, '"e1"')
    assert world.request("GET", conn=conn)[2] == b"0123456789"
    status, headers, body = world.request("HEAD", conn=conn)
    assert (status, headers["Content-Length"], body) == (200, "10", b"")
    for text, want, span in (
        ("bytes=2-4", b"234", "bytes 2-4/10"),
        ("bytes=7-", b"789", "bytes 7-9/10"),
        ("bytes=-2", b"89", "bytes 8-9/10"),
    ):
        status, headers, body = world.request("GET", headers={"Range": text}, conn=conn)
        assert (status, headers["Content-Range"], body) == (206, span, want)
    status, headers, _ = world.request("GET", headers={"Range": "bytes=20-"}, conn=conn)
    assert (status, headers["Content-Range"]) == (416, "bytes */10")
    changed = {"Range": "bytes=2-4", "If-Range": '"e0"'}
    assert world.request("GET", headers=changed, conn=conn)[::2] == (200, b"0123456789")
    several = {"Range": "bytes=1-2,4-5"}
    assert world.request("GET", headers=several, conn=conn)[::2] == (200, b"0123456789")
    assert world.request("DELETE", conn=conn)[0] == 204
    assert world.request("GET", conn=conn)[0] == 404
    assert world.request("DELETE", conn=conn)[0] == 204


def test_an_upload_is_assembled_by_the_node_that_created_it(world):
    upload = start_upload(world)
    for number in (2, 1):
        target = f"{ITEM}?partNumber={number}&uploadId={upload}"
        assert world.request("PUT", target, b"part%d;" % number)[0] == 200
    assert b"<PartNumber>2</PartNumber>" in world.request("GET", f"{ITEM}?uploadId={upload}")[2]
    assert world.request("POST", f"{ITEM}?uploadId={upload}", b"<CompleteMultipartUpload/>")[0] == 200
    assert world.request("GET")[2] == b"part1;part2;"
    assert world.request("PUT", f"{ITEM}?partNumber=3&uploadId={upload}", b"x")[0] == 404
    other = start_upload(world)
    assert world.request("DELETE", f"{ITEM}?uploadId={other}")[0] == 204
    assert world.request("GET", f"{ITEM}?uploadId={other}")[0] == 404


@pytest.mark.parametrize(
    ("request_", "status"),
    [
        (b"GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"GET /volumes/none/objects/k HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"PATCH /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        (b"PUT /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n", 411),
        (b"PUT /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        (b"PUT /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n", 413),
        (b"PUT /volumes/tracks/objects/k?partNumber=0&uploadId=a HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (b"PUT /volumes/tracks/objects/k?partNumber=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 400),
        (b"GET /volumes/tracks/objects/k?uploadId=a HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"HEAD /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 40000 + b"\r\n\r\n", 431),
    ],
)
def test_invalid_requests_get_their_status_and_reach_no_node(world, request_, status):
    with world.program.connect("ObjectListener") as sock:
        sock.sendall(request_)
        assert int(sock.recv(65536).split()[1]) == status
    assert [server.log for server in world.servers] == [[], []]
    assert world.request("PUT", body=b"still serving")[0] == 200


def test_an_unavailable_store_is_503_with_retry_after(world):
    world.request("PUT", body=b"x")
    world.store.close()
    status, headers, _ = world.request("GET")
    assert status == 503 and int(headers["Retry-After"]) >= 1


def test_a_silent_node_is_504_and_a_failing_node_502(world):
    world.request("PUT", body=b"x")
    server = world.holder()
    server.may_respond.clear()
    began = time.monotonic()
    status, _, _ = world.request("GET", headers={"X-Expires-In-Ms": "400"})
    assert status == 504 and time.monotonic() - began < 3
    server.may_respond.set()
    server.handle = lambda *_: ObjectResponse(500, {}, b"")
    assert world.request("GET")[0] == 502


def test_a_full_node_is_503_with_retry_after(world):
    world.request("PUT", body=b"x")
    world.holder().handle = lambda *_: ObjectResponse(503, {}, b"")
    status, headers, _ = world.request("GET", headers={"X-Expires-In-Ms": "900"})
    assert status == 503 and int(headers["Retry-After"]) >= 1


class PartialServer(ObjectServer):
    """Sends a head and a part of the body; closes at once if ``go`` is set, else when the client closes."""

    def __init__(self):
        self.go, self.closed, self.body = threading.Event(), threading.Event(), b"a" * 1000
        super().__init__()

    def serve(self, conn, lines):
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 206 P\r\nContent-Length: 9000000\r\n\r\n" + self.body)
        if self.go.is_set():
            return
        while lines.readline():
            pass
        self.closed.set()


def start_partial_server(world):
    world.request("PUT", body=b"x")
    place = next(n for n, s in enumerate(world.servers) if s.objects)
    partial = PartialServer()
    world.discovery.send_nodes(entry("127.0.0.1:9", f"s-{place}", place, objects=partial.address))
    until(lambda: world.request("HEAD", "/volumes/tracks/objects/none")[0] == 404)
    time.sleep(0.1)
    return partial


def test_a_client_that_disconnects_mid_range_frees_its_attempt_and_connection(world):
    partial = start_partial_server(world)
    with world.program.connect("ObjectListener") as sock:
        sock.sendall(f"GET {ITEM} HTTP/1.1\r\nHost: x\r\nRange: bytes=0-8999999\r\n\r\n".encode())
        assert until(lambda: sock.recv(65536)).startswith(b"HTTP/1.1 206")
    assert partial.closed.wait(5)  # the node's connection is closed soon after the client's
    partial.close()


def test_a_response_that_breaks_off_ends_short_of_its_length(world):
    partial = start_partial_server(world)
    partial.go.set()
    with world.program.connect("ObjectListener") as sock:
        sock.sendall(f"GET {ITEM} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        got = b""
        while data := sock.recv(65536):
            got += data
    head, _, body = got.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 206") and len(body) == 1000
    partial.close()


def test_a_slow_reader_slows_its_node_down_and_takes_no_memory(world):
    world.request("PUT", body=b"x")
    data = bytes(48 << 20)
    world.holder().objects[ITEM] = data
    memory = Path(f"/proc/{world.program.process.pid}/statm")
    before = int(memory.read_text().split()[1])
    with world.program.connect("ObjectListener") as sock:
        sock.sendall(f"GET {ITEM} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        sock.recv(1, socket.MSG_PEEK)
        time.sleep(0.3)
        assert (int(memory.read_text().split()[1]) - before) * 4096 < 16 << 20
        got = 0
        while got < len(data):
            got += len(sock.recv(1 << 20))


def test_parts_uploaded_during_a_drain_wait_for_the_new_holder_and_arrive_once(world):
    upload = start_upload(world)
    target = f"{ITEM}?partNumber=%d&uploadId={upload}"
    assert world.request("PUT", target % 1, b"one;")[0] == 200
    old = world.holder()
    place = world.servers.index(old)
    world.discovery.send_nodes(entry("127.0.0.1:9", f"s-{place}", place, "terminating", objects=old.address))
    time.sleep(0.3)
    results = []
    waiting = threading.Thread(target=lambda: results.append(world.request("PUT", target % 2, b"two;")[0]))
    waiting.start()
    time.sleep(0.3)
    assert not results and len(old.log) == 2  # the draining node gets no new request
    new = ObjectServer()
    new.uploads = old.uploads  # the shard's data moves to its new holder
    world.discovery.send_nodes(entry("127.0.0.1:9", "s-new", place, objects=new.address))
    waiting.join(10)
    assert results == [200] and [t for _, _, t in new.log] == [target % 2]
    assert world.request("POST", f"{ITEM}?uploadId={upload}", b"<x/>")[0] == 200
    assert new.objects[ITEM] == b"one;two;"
    new.close()


def test_a_drain_without_a_new_holder_sheds_and_forwards_nothing(world):
    world.request("PUT", body=b"x")
    old = world.holder()
    place = world.servers.index(old)
    world.discovery.send_nodes(entry("127.0.0.1:9", f"s-{place}", place, "terminated", objects=old.address))
    time.sleep(0.3)
    before = len(old.log)
    status, headers, _ = world.request("GET", headers={"X-Expires-In-Ms": "600"})
    assert status == 503 and "Retry-After" in headers and len(old.log) == before


def test_a_client_that_disconnects_after_much_pipelined_input_frees_its_attempt(world):
    """After 64 KiB of read-ahead its close was not detected, and its request ran to completion."""
    world.request("PUT", body=b"x")
    server, reached, held = world.holder(), threading.Event(), threading.Event()
    server.may_respond = SimpleNamespace(wait=lambda seconds: reached.set() or held.wait(seconds))
    with socket.create_connection(("127.0.0.1", world.program.ports["ObjectListener"])) as client:
        client.sendall(b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % ITEM.encode() + b"x" * (90 << 10))
        assert reached.wait(5)
    node_connection = server.connections[-1]
    until(
        lambda: (
            node_connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
            if is_readable(node_connection)
            else False
        ),
        2,
    )
    held.set()


def is_readable(sock):
    """Return whether the socket is readable, including at the end of the stream."""
    return select.select([sock], [], [], 0)[0]


@pytest.mark.parametrize("world", [ONLY_COLD_UNITS], indirect=True)
def test_a_node_in_slow_start_gets_no_more_than_its_units_over_http(world):
    world.request("PUT", body=b"x")
    old = world.holder()
    place = world.servers.index(old)
    cold = ObjectServer()
    cold.objects = old.objects
    world.discovery.send_nodes(
        entry("127.0.0.1:9", f"s-{place}", place, "terminated"),
        entry("127.0.0.1:9", "s-cold", place, boot_ms=int(time.time() * 1000), objects=cold.address),
    )
    time.sleep(0.1)
    threads = [
        threading.Thread(target=world.request, args=("GET",), kwargs={"headers": {"X-Expires-In-Ms": "1500"}})
        for _ in range(40)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    assert 1 <= len(cold.log) <= 12  # ColdUnits within its period of two seconds, one unit per request
    cold.close()


def test_floods_of_both_protocols_get_equal_shares_and_one_response_each(tmp_path):
    lock = threading.Lock()  # one node with two protocols serves one request at a time
    served = {"resp": 0, "http": 0}
    resp, objects = RespNode(0.01, lock), ObjectServer(0.01, lock)
    store, discovery = Redis(), Discovery()
    store.data[b"runloft:object:logs:k"] = b"0 1"
    objects.objects["/volumes/logs/objects/k"] = b"v"
    nodes = [entry(resp.address, "s-0", 0, objects=objects.address)]
    program = Program(config(discovery.address, nodes, store.address), tmp_path / "config.json")
    answers = []

    def resp_client(number):
        with program.connect() as sock, sock.makefile("rb") as lines:
            for i in range(12):
                attributes = b"c=position-read,t=basic,d=2500,volume=0000000000000001,units=1,shard=0,hosts=1"
                words = [b"IO.IN", b"000000000000000a", b"%016x" % (number * 100 + i), attributes]
                sock.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))
                line = lines.readline()
                if line[:1] == b"$":
                    lines.readline()
                    served["resp"] += 1
                answers.append(("resp", line))

    def http_client(number):
        conn = http.client.HTTPConnection("127.0.0.1", program.ports["ObjectListener"], timeout=20)
        for _ in range(12):
            conn.request("GET", "/volumes/logs/objects/k")
            answer = conn.getresponse()
            answer.read()
            served["http"] += answer.status == 200
            answers.append(("http", answer.status))

    threads = [threading.Thread(target=c, args=(n,)) for n in range(12) for c in (resp_client, http_client)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(60)
    program.close()
    for part in (resp, objects, store, discovery):
        part.close()
    assert len(answers) == 24 * 12  # one final answer each
    assert len(resp.log) >= served["resp"] and len(objects.log) >= served["http"]
    assert served["resp"] and 0.7 < served["http"] / served["resp"] < 1.4, served


def test_an_object_requested_before_sigterm_is_served(world):
    world.request("PUT", body=b"data")
    world.holder().may_respond.clear()
    conn = world.http()
    conn.request("GET", ITEM)
    until(lambda: len(world.holder().connections) >= 1)
    world.program.process.terminate()
    time.sleep(0.7)  # after the time in which new connections are accepted
    world.holder().may_respond.set()
    answer = conn.getresponse()
    assert (answer.status, answer.read()) == (200, b"data")
    assert world.program.process.wait(10) == 0


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    world = World(tmp_path_factory.mktemp("shared"))
    yield world
    world.close()


def raw(start, *headers, body=b""):
    return "\r\n".join((f"{start} HTTP/1.1", "Host: x", *headers, "", "")).encode() + body


@pytest.mark.parametrize(
    "sent, status, seconds",
    [
        (raw("GET //["), b"400", 1),
        (raw(f"PUT {ITEM}?partNumber=%C2%B2&uploadId=a", "Content-Length: 0"), b"400", 1),
        (raw(f"GET {ITEM}?uploadId=%C3%A9"), b"404", 1),
        (raw(f"PUT {ITEM}", "X-Expires-In-Ms: soon", "Content-Length: 0"), b"400", 1),
        (raw(f"PUT {ITEM}", "X-Expires-In-Ms: 0", "Content-Length: 0"), b"400", 1),
        (raw(f"GET {ITEM}", "Range: bytes=0-1", "Range: bytes=2-3"), b"400", 1),
        (raw(f"PUT {ITEM}", "Content-Length: 60000000", body=b"k" * 90_000), b"413", 2),
        (raw(f"PUT {ITEM}", "Content-Length: 10", body=b"half"), b"408", 6),
        (raw(f"GET {ITEM}")[:-4], b"408", 3),
        (b"", b"", 3),
    ],
)
def test_an_invalid_or_slow_client_gets_an_error_or_a_close_in_time(shared, sent, status, seconds):
    began = time.monotonic()
    with shared.program.connect("ObjectListener") as sock:
        sock.sendall(sent)
        got = sock.recv(65536)
    assert got[9:12] == status and time.monotonic() - began < seconds
    assert shared.program.process.poll() is None


def test_many_silent_connections_do_not_block_object_clients(shared):
    silent = [shared.program.connect("ObjectListener") for _ in range(120)]
    assert shared.request("GET")[0] == 404
    for sock in silent:
        sock.close()
