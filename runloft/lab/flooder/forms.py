"""What a flooding client sends: input that is prepared before the flood, by form."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from runloft.lab.requests import encode_command, trace_id

BLOCK_BYTES = 4 << 20  # of prepared input, which is sent again and again
MAX_NAMES = 50_000  # different names in a block
FIRST_READ_ID = 1 << 60
ERRORS_UNTIL_CLOSE = 25  # errors in a row after which a RESP2 connection is closed
READ_ATTRIBUTES = b"c=position-read,t=basic,d=1500,volume=%016x,units=2,shard=-1,hosts=1"


class Protocol(StrEnum):
    """The protocol of a flood."""

    RESP = "resp"
    HTTP = "http"


class FloodForm(StrEnum):
    """What each command or request of a flood is; the part before the hyphen is the protocol."""

    RESP_PING = "resp-ping"
    RESP_LONG_PING = "resp-long-ping"
    RESP_CLIENT = "resp-client"
    RESP_EMPTY_ARRAY = "resp-empty-array"
    RESP_UNKNOWN_COMMAND = "resp-unknown-command"
    RESP_ERRORS_THEN_EMPTY = "resp-errors-then-empty"
    RESP_FEW_WORDS = "resp-few-words"
    RESP_BAD_ID = "resp-bad-id"
    RESP_UNKNOWN_CLASS = "resp-unknown-class"
    RESP_UNKNOWN_PLAN = "resp-unknown-plan"
    RESP_UNKNOWN_ATTRIBUTE = "resp-unknown-attribute"
    RESP_REPEATED_ATTRIBUTE = "resp-repeated-attribute"
    RESP_BAD_NUMBER = "resp-bad-number"
    RESP_BAD_SHARD = "resp-bad-shard"
    RESP_TOO_MANY_UNITS = "resp-too-many-units"
    RESP_WRONG_COMMAND = "resp-wrong-command"
    RESP_READ = "resp-read"
    RESP_PROTOCOL_ERROR = "resp-protocol-error"
    RESP_BAD_LENGTH = "resp-bad-length"
    RESP_NO_LINE_END = "resp-no-line-end"
    RESP_QUIT = "resp-quit"
    RESP_HALF_COMMAND = "resp-half-command"
    HTTP_UNKNOWN_ROUTE = "http-unknown-route"
    HTTP_UNKNOWN_VOLUME = "http-unknown-volume"
    HTTP_UNKNOWN_OBJECT = "http-unknown-object"
    HTTP_UNKNOWN_METHOD = "http-unknown-method"
    HTTP_BAD_UPLOAD = "http-bad-upload"
    HTTP_BAD_LINE = "http-bad-line"
    HTTP_NO_LENGTH = "http-no-length"
    HTTP_TOO_LARGE = "http-too-large"
    HTTP_MANY_FIELDS = "http-many-fields"
    HTTP_SMALL_CHUNKS = "http-small-chunks"

    @property
    def protocol(self) -> Protocol:
        """The protocol of the form."""
        return Protocol(self.partition("-")[0])

    @property
    def is_sound(self) -> bool:
        """Whether nodes have work with the flood."""
        return self is FloodForm.RESP_READ


UNSOUND_RESP_FORMS = tuple(form for form in FloodForm if form.protocol is Protocol.RESP and not form.is_sound)


@dataclass(frozen=True, slots=True)
class FloodInput:
    """The bytes of a flood: ``opening`` once for each connection, then ``block`` again and again."""

    opening: bytes
    block: bytes


def prepare(form: FloodForm, part: int = 0, parts: int = 1) -> FloodInput:
    """Return the input of a form, or one of several parts of it that have no name in common."""
    opening, command = COMMANDS[form]
    return FloodInput(opening, b"".join(_until_full(command, part, parts)))


def _until_full(command: Callable[[int], bytes], part: int, parts: int) -> Iterator[bytes]:
    """Yield commands with ever new numbers until a part of a block is full."""
    size = 0
    for number in itertools.count(part + 1, parts):
        if size >= BLOCK_BYTES // parts:
            return
        text = command(number % MAX_NAMES)
        size += len(text)
        yield text


def _fixed(*words: bytes) -> Callable[[int], bytes]:
    text = encode_command(words)
    return lambda _: text


def _read(attributes: bytes, verb: bytes = b"IO.IN") -> Callable[[int], bytes]:
    """Return a read with an attribute list, in which ``%(n)x`` is the number."""

    def command(number: int) -> bytes:
        words = (verb, trace_id(number), b"%016x" % number, attributes % {b"n": number})
        return encode_command(words)

    return command


def _sound_read(number: int) -> bytes:
    """Return a read whose id no ordinary client uses: an id that is in use is rejected."""
    words = (b"IO.IN", trace_id(number), b"%016x" % (FIRST_READ_ID + number), READ_ATTRIBUTES % number)
    return encode_command(words)


def _http(method: bytes, target: bytes, fields: bytes = b"", body: bytes = b"") -> Callable[[int], bytes]:
    """Return a request, in whose target ``%(n)x`` is the number."""

    def request(number: int) -> bytes:
        head = b"%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n" % (method, target % {b"n": number}, fields)
        return head + body

    return request


BAD_READ = b"c=position-read,t=basic,d=1500,volume=%(n)016x,units=2,shard=-1,hosts=1"
OBJECT = b"/volumes/tracks/objects/k%(n)x"
MANY_FIELDS = b"".join(b"X-%d: v\r\n" % number for number in range(60))
SMALL_CHUNKS = b"1\r\nx\r\n" * 4000 + b"0\r\n\r\n"

COMMANDS: dict[FloodForm, tuple[bytes, Callable[[int], bytes]]] = {
    FloodForm.RESP_PING: (b"", _fixed(b"PING")),
    FloodForm.RESP_LONG_PING: (b"", _fixed(b"PING", b"p" * 1100)),
    FloodForm.RESP_CLIENT: (b"", lambda n: encode_command((b"CLIENT", b"SETNAME", b"n%x" % n))),
    FloodForm.RESP_EMPTY_ARRAY: (b"", lambda _: b"*0\r\n"),
    FloodForm.RESP_UNKNOWN_COMMAND: (b"", lambda n: encode_command((b"U%x" % n,))),
    FloodForm.RESP_ERRORS_THEN_EMPTY: (
        encode_command((b"UNKNOWN",)) * ERRORS_UNTIL_CLOSE,
        lambda _: b"*0\r\n",
    ),
    FloodForm.RESP_FEW_WORDS: (b"", _fixed(b"IO.IN", b"x")),
    FloodForm.RESP_BAD_ID: (b"", lambda n: encode_command((b"IO.IN", b"%x" % n, b"y", b"z"))),
    FloodForm.RESP_UNKNOWN_CLASS: (b"", _read(BAD_READ.replace(b"position-read", b"class-%(n)x"))),
    FloodForm.RESP_UNKNOWN_PLAN: (b"", _read(BAD_READ.replace(b"basic", b"plan-%(n)x"))),
    FloodForm.RESP_UNKNOWN_ATTRIBUTE: (b"", _read(BAD_READ + b",a%(n)x=1")),
    FloodForm.RESP_REPEATED_ATTRIBUTE: (b"", _read(BAD_READ + b",hosts=1")),
    FloodForm.RESP_BAD_NUMBER: (b"", _read(BAD_READ.replace(b"units=2", b"units=x%(n)x"))),
    FloodForm.RESP_BAD_SHARD: (b"", _read(BAD_READ.replace(b"shard=-1", b"shard=x%(n)x"))),
    FloodForm.RESP_TOO_MANY_UNITS: (b"", _read(BAD_READ.replace(b"units=2", b"units=900"))),
    FloodForm.RESP_WRONG_COMMAND: (b"", lambda n: _wrong_command(n)),
    FloodForm.RESP_READ: (b"", _sound_read),
    FloodForm.RESP_PROTOCOL_ERROR: (b"", lambda _: b"+x\r\n"),
    FloodForm.RESP_BAD_LENGTH: (_fixed(b"PING")(0), lambda _: b"*1\r\n$-7\r\n"),
    FloodForm.RESP_NO_LINE_END: (b"", lambda _: b"*" * 2000),
    FloodForm.RESP_QUIT: (encode_command((b"QUIT",)), _fixed(b"PING")),
    FloodForm.RESP_HALF_COMMAND: (b"*5\r\n$6\r\nIO.OUT\r\n$70000\r\n", lambda _: b"x" * 1024),
    FloodForm.HTTP_UNKNOWN_ROUTE: (b"", _http(b"GET", b"/r%(n)x")),
    FloodForm.HTTP_UNKNOWN_VOLUME: (b"", _http(b"GET", b"/volumes/v%(n)x/objects/k")),
    FloodForm.HTTP_UNKNOWN_OBJECT: (b"", _http(b"GET", OBJECT)),
    FloodForm.HTTP_UNKNOWN_METHOD: (b"", _http(b"BREW", OBJECT)),
    FloodForm.HTTP_BAD_UPLOAD: (b"", _http(b"GET", OBJECT + b"?uploadId=-")),
    FloodForm.HTTP_BAD_LINE: (b"", lambda n: b"BAD %x\r\n\r\n" % n),
    FloodForm.HTTP_NO_LENGTH: (
        b"",
        _http(b"PUT", OBJECT, b"Transfer-Encoding: chunked\r\n", SMALL_CHUNKS[:60]),
    ),
    FloodForm.HTTP_TOO_LARGE: (b"", _http(b"PUT", OBJECT, b"Content-Length: 999999999\r\n")),
    FloodForm.HTTP_MANY_FIELDS: (b"", _http(b"GET", b"/r%(n)x", MANY_FIELDS)),
    FloodForm.HTTP_SMALL_CHUNKS: (
        b"",
        _http(b"GET", b"/r%(n)x", b"Transfer-Encoding: chunked\r\n", SMALL_CHUNKS),
    ),
}


def _wrong_command(number: int) -> bytes:
    """Return a write command of a class of reads."""
    words = (b"IO.OUT", trace_id(number), b"%016x" % number, READ_ATTRIBUTES % number, b"v")
    return encode_command(words)
