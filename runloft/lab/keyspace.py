"""The data and commands of the Redis stand-in, without I/O.

Written from the public description of RESP2 commands.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Reply = Any  # None, int, bytes, Simple, Error or a list of those


@dataclass(frozen=True, slots=True)
class Simple:
    """A status reply."""

    text: bytes = b"OK"


@dataclass(frozen=True, slots=True)
class Error:
    """An error reply."""

    text: str


WRONG_TYPE = Error("WRONGTYPE Operation against a key holding the wrong kind of value")
SYNTAX = Error("ERR syntax error")
TRANSACTION_COMMANDS = ("EXEC", "DISCARD", "MULTI", "WATCH")
NS_PER_MS = 1_000_000
NS_PER_US = 1000
US_PER_S = 1_000_000
MS_PER_S = 1000


@dataclass
class Session:
    """The transaction state of one connection: queued commands and the versions of watched keys."""

    queue: list[list[bytes]] | None = None
    watched: dict[bytes, int] = field(default_factory=dict)
    is_dirty: bool = False  # a command was rejected while queueing: EXEC fails

    def reset(self) -> None:
        """End the transaction."""
        self.queue = None
        self.watched = {}
        self.is_dirty = False


class Keyspace:
    """Keys with their values, expiry times and versions."""

    def __init__(self, unix_ns: Callable[[], int]) -> None:
        self.unix_ns = unix_ns
        self.data: dict[bytes, Any] = {}
        self.expires: dict[bytes, int] = {}  # Unix time in milliseconds
        self.versions: dict[bytes, int] = {}
        self.command_count = 0

    @property
    def now_ms(self) -> int:
        """The Unix time in milliseconds, against which keys expire."""
        return self.unix_ns() // NS_PER_MS

    def clear(self) -> None:
        """Delete every key."""
        for key in list(self.data):
            self._remove(key)

    def execute(self, session: Session, words: list[bytes]) -> Reply:
        """Execute a connection's command, or queue it if the connection has a transaction open."""
        self.command_count += 1
        name = words[0].upper().decode("ascii", "replace")
        if session.queue is not None and name not in TRANSACTION_COMMANDS:
            return self._enqueue(session, name, words)
        match name:
            case "MULTI":
                return self._multi(session)
            case "WATCH":
                return self._watch(session, words[1:])
            case "UNWATCH" | "DISCARD":
                session.reset()
                return Simple()
            case "EXEC":
                return self._exec(session)
        return self._call(name, words[1:])

    def _call(self, name: str, arguments: list[bytes]) -> Reply:
        command = getattr(self, f"do_{name.lower()}", None)
        if command is None:
            return Error(f"ERR unknown command '{name}'")
        try:
            return command(*arguments)
        except TypeError:
            return Error(f"ERR wrong number of arguments for '{name.lower()}' command")

    def _enqueue(self, session: Session, name: str, words: list[bytes]) -> Reply:
        assert session.queue is not None
        if not hasattr(self, f"do_{name.lower()}"):
            session.is_dirty = True
            return Error(f"ERR unknown command '{name}'")
        session.queue.append(words)
        return Simple(b"QUEUED")

    def _multi(self, session: Session) -> Reply:
        if session.queue is not None:
            return Error("ERR MULTI calls can not be nested")
        session.queue = []
        return Simple()

    def _watch(self, session: Session, keys: list[bytes]) -> Reply:
        if session.queue is not None:
            return Error("ERR WATCH inside MULTI is not allowed")
        for key in keys:
            self._unexpired_value(key)
            session.watched[key] = self.versions.get(key, 0)
        return Simple()

    def _exec(self, session: Session) -> Reply:
        queue = session.queue
        watched = session.watched
        is_dirty = session.is_dirty
        session.reset()
        if queue is None:
            return Error("ERR EXEC without MULTI")
        if is_dirty:
            return Error("EXECABORT Transaction discarded because of previous errors.")
        for key, version in watched.items():
            self._unexpired_value(key)
            if self.versions.get(key, 0) != version:
                return None
        return [self.execute(Session(), words) for words in queue]

    def _unexpired_value(self, key: bytes) -> Any:
        """Return the value of a key, None if it doesn't exist; an expired key is deleted first."""
        expires_at_ms = self.expires.get(key)
        if expires_at_ms is not None and expires_at_ms <= self.now_ms:
            self._remove(key)
        return self.data.get(key)

    def _remove(self, key: bytes) -> bool:
        self.expires.pop(key, None)
        if key not in self.data:
            return False
        del self.data[key]
        self._increment_version(key)
        return True

    def _increment_version(self, key: bytes) -> None:
        self.versions[key] = self.versions.get(key, 0) + 1

    def _value_of_type(self, key: bytes, value_type: type[Any]) -> Any:
        """Return the value of a key, None if it doesn't exist, or WRONG_TYPE if it has another type."""
        value = self._unexpired_value(key)
        return value if value is None or isinstance(value, value_type) else WRONG_TYPE

    def do_ping(self, *words: bytes) -> Reply:
        """Return PONG, or the argument if there is one."""
        return words[0] if words else Simple(b"PONG")

    def do_client(self, *_: bytes) -> Reply:
        """Accept any CLIENT command without effect."""
        return Simple()

    def do_select(self, _: bytes) -> Reply:
        """Accept any database number; there is a single database."""
        return Simple()

    def do_time(self) -> Reply:
        """Return the Unix time as seconds and microseconds."""
        seconds, microseconds = divmod(self.unix_ns() // NS_PER_US, US_PER_S)
        return [b"%d" % seconds, b"%d" % microseconds]

    def do_get(self, key: bytes) -> Reply:
        """Return the string value of a key."""
        return self._value_of_type(key, bytes)

    def do_mget(self, *keys: bytes) -> Reply:
        """Return the string values of several keys; null for a key of another type or without a value."""
        values = [self._unexpired_value(key) for key in keys]
        return [value if isinstance(value, bytes) else None for value in values]

    def do_set(self, key: bytes, value: bytes, *options: bytes) -> Reply:
        """Set a key to a string; supports the options NX, XX, EX and PX."""
        expires_at_ms = None
        words = [word.upper() for word in options]
        while words:
            word = words.pop(0)
            if word in (b"EX", b"PX") and words and words[0].isdigit():
                unit_ms = MS_PER_S if word == b"EX" else 1
                expires_at_ms = self.now_ms + int(words.pop(0)) * unit_ms
            elif word not in (b"NX", b"XX"):
                return SYNTAX
            elif (self._unexpired_value(key) is None) is (word == b"XX"):
                return None
        self.data[key] = value
        self.expires.pop(key, None)
        if expires_at_ms is not None:
            self.expires[key] = expires_at_ms
        self._increment_version(key)
        return Simple()

    def do_del(self, *keys: bytes) -> Reply:
        """Delete keys; return how many existed."""
        return sum(self._unexpired_value(key) is not None and self._remove(key) for key in keys)

    def do_exists(self, *keys: bytes) -> Reply:
        """Return how many of the keys exist."""
        return sum(self._unexpired_value(key) is not None for key in keys)

    def do_pexpire(self, key: bytes, milliseconds: bytes) -> Reply:
        """Set a key's time to live in milliseconds; return 1 if the key exists, else 0."""
        if self._unexpired_value(key) is None:
            return 0
        self.expires[key] = self.now_ms + int(milliseconds)
        return 1

    def do_sadd(self, key: bytes, *members: bytes) -> Reply:
        """Add members to a set; return how many are new."""
        value = self._value_of_type(key, set)
        if isinstance(value, Error):
            return value
        existing = self.data.setdefault(key, set())
        size_before = len(existing)
        existing.update(members)
        if len(existing) > size_before:
            self._increment_version(key)
        return len(existing) - size_before

    def do_srem(self, key: bytes, *members: bytes) -> Reply:
        """Remove members from a set; return how many were in it."""
        value = self._value_of_type(key, set)
        if value is None or isinstance(value, Error):
            return value or 0
        removed = len(value & set(members))
        value.difference_update(members)
        if removed:
            self._increment_version(key)
        return removed

    def do_smembers(self, key: bytes) -> Reply:
        """Return the members of a set, sorted."""
        value = self._value_of_type(key, set)
        return value if isinstance(value, Error) else sorted(value or ())

    def do_hset(self, key: bytes, *pairs: bytes) -> Reply:
        """Set fields of a hash; return how many are new."""
        value = self._value_of_type(key, dict)
        if isinstance(value, Error):
            return value
        fields = self.data.setdefault(key, {})
        added = len(set(pairs[::2]) - fields.keys())
        fields.update(zip(pairs[::2], pairs[1::2], strict=True))
        self._increment_version(key)
        return added

    def do_hgetall(self, key: bytes) -> Reply:
        """Return all fields and values of a hash."""
        value = self._value_of_type(key, dict)
        if isinstance(value, Error):
            return value
        return [word for pair in (value or {}).items() for word in pair]
