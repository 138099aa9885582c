"""An object server, as storage nodes run it beside their own protocol."""

import re
import threading
import time
from typing import NamedTuple

from tests.support.standins import Listener

ETAG = '"e1"'


class ObjectResponse(NamedTuple):
    """The status, the headers beside Content-Length, and the body of a response."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_SUCH_UPLOAD = ObjectResponse(404, {}, b"<Error><Code>NoSuchUpload</Code></Error>")
NO_SUCH_KEY = ObjectResponse(404, {}, b"<Error><Code>NoSuchKey</Code></Error>")
NO_CONTENT = ObjectResponse(204, {}, b"")


class ObjectServer(Listener):
    """An object server with S3's operations on objects and multipart uploads."""

    def __init__(self, delay=0.0, lock=None):
        self.objects = {}
        self.uploads = {}
        self.log = []
        self.delay = delay
        self.lock = lock or threading.Lock()
        self.may_respond = threading.Event()
        self.may_respond.set()
        super().__init__()

    def serve(self, conn, lines):
        while True:
            method, target, _ = lines.readline().split()
            headers = {}
            while line := lines.readline().strip():
                name, _, value = line.partition(b":")
                headers[name.lower()] = value.strip()
            body = lines.read(int(headers.get(b"content-length", 0)))
            self.may_respond.wait(20)
            with self.lock:
                time.sleep(self.delay)
                self.log.append((time.time(), method.decode(), target.decode()))
                response = self.handle(method.decode(), target.decode(), headers, body)
            head = [b"HTTP/1.1 %d X" % response.status, b"Content-Length: %d" % len(response.body)]
            head += [f"{name}: {value}".encode() for name, value in response.headers.items()]
            conn.sendall(b"\r\n".join(head) + b"\r\n\r\n" + (b"" if method == b"HEAD" else response.body))

    def handle(self, method, target, headers, body):
        """Run an operation and return its response."""
        path, _, query = target.partition("?")
        upload = re.search(r"uploadId=(\w+)", query)
        if upload and method == "POST" and "uploads" in query:
            self.uploads.setdefault(upload[1], {})
            return ObjectResponse(200, {}, b"")
        if upload:
            return self._handle_upload(method, path, query, upload[1], body)
        if method == "PUT":
            self.objects[path] = body
            return ObjectResponse(200, {"ETag": ETAG}, b"")
        content = self.objects.get(path)
        if content is None:
            return NO_SUCH_KEY
        if method == "DELETE":
            del self.objects[path]
            return NO_CONTENT
        return read_object(content, headers)

    def _handle_upload(self, method, path, query, upload, body):
        parts = self.uploads.get(upload)
        if parts is None:
            return NO_SUCH_UPLOAD
        if method == "PUT":
            number = int(re.search(r"partNumber=(\d+)", query)[1])
            parts[number] = body
            return ObjectResponse(200, {"ETag": f'"p{number}"'}, b"")
        if method == "GET":
            listing = "".join(f"<PartNumber>{number}</PartNumber>" for number in sorted(parts))
            return ObjectResponse(200, {}, listing.encode())
        del self.uploads[upload]
        if method != "POST":
            return NO_CONTENT
        self.objects[path] = b"".join(parts[number] for number in sorted(parts))
        return ObjectResponse(200, {}, b"<CompleteMultipartUploadResult/>")


def read_object(content, headers):
    """Return an object, or the range of it that the headers ask for."""
    byte_range = re.fullmatch(rb"bytes=(\d*)-(\d*)", headers.get(b"range", b""))
    if not byte_range or headers.get(b"if-range", ETAG.encode()) != ETAG.encode():
        return ObjectResponse(200, {"ETag": ETAG, "Accept-Ranges": "bytes"}, content)
    first = byte_range[1]
    last = byte_range[2]
    start = int(first) if first else max(0, len(content) - int(last))
    stop = min(int(last) + 1 if first and last else len(content), len(content))
    if start >= stop:
        return ObjectResponse(416, {"Content-Range": f"bytes */{len(content)}"}, b"")
    content_range = f"bytes {start}-{stop - 1}/{len(content)}"
    return ObjectResponse(206, {"ETag": ETAG, "Content-Range": content_range}, content[start:stop])
