"""Translation of the commands IO.IN and IO.OUT into ``RequestSpec``; a command that deviates is rejected."""

import re

from runloft.config.settings import Config
from runloft.core.model import RequestSpec
from runloft.upstream.payloads import RespPayload

MAX_SHARD = 65_535  # as on the simulator's wire
TRAVEL_ALLOWANCE_NS = 25_000_000  # taken off a client's time, for network delays that nobody reports
MIN_REMAINING_TIME_NS = 1_000_000
HEX = re.compile(rb"[0-9a-fA-F]{16}")
# ``float`` and ``int`` take signs, blanks, underscores and words; a number here is digits alone.
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
SHARD = re.compile(rb"-1|[0-9]{1,5}")
POSITIVE_NUMBERS = (b"d", b"units", b"hosts")
REQUIRED = frozenset((b"c", b"t", b"d", b"volume", b"units", b"shard", b"hosts"))
ALLOWED = REQUIRED | {b"r", b"k"}


class BadCommandError(ValueError):
    """A command that can't be served; the connection goes on."""


class CommandTranslator:
    """Translates commands into requests, by the names in a configuration's settings."""

    def __init__(self, config: Config) -> None:
        self._classes = {name.encode(): index for index, name in enumerate(config.class_names)}
        self._plans = {name.encode(): index for index, name in enumerate(config.plan_names)}
        self._settings = config.settings
        self._distinguishes_writes = any(request_class.writes for request_class in config.settings.classes)

    def translate(self, words: list[bytes], waited_ns: int = 0) -> RequestSpec:
        """Return the request of a command that arrived ``waited_ns`` ago; raise BadCommandError."""
        is_write = words[0].upper() == b"IO.OUT"
        _check_words(words, is_write)
        attributes = _parse_attributes(words[3])
        plan = self._plans.get(attributes[b"t"])
        request_class = self._classes.get(attributes[b"c"])
        if request_class is None or plan is None:
            raise BadCommandError("unknown class or plan")
        if self._distinguishes_writes and self._settings.classes[request_class].writes is not is_write:
            raise BadCommandError("the class goes with the other command")
        _check_numbers(attributes)
        shard = _parse_shard(attributes[b"shard"])
        if attributes.get(b"r", b"1") not in (b"0", b"1"):
            raise BadCommandError("r takes 0 or 1")
        units = self._parse_units(attributes[b"units"])
        timeout_ns = self._timeout_ns(attributes[b"d"], request_class)
        return RequestSpec(
            request_class=request_class,
            plan=plan,
            volume=int(attributes[b"volume"], 16),
            units=units,
            # Prevents responses at the last moment: the client counts from when it sent, and waits for
            # the response's last byte.
            time_left_ns=max(timeout_ns - TRAVEL_ALLOWANCE_NS - waited_ns, MIN_REMAINING_TIME_NS),
            shard=shard if shard >= 0 else None,
            payload=_payload(words),
            key=int(words[1], 16),
            volume_hosts=max(1.0, float(attributes[b"hosts"])),
            is_write=is_write,
            is_client_retry=attributes.get(b"r") == b"1",
            id=words[2].lower(),
        )

    def _parse_units(self, text: bytes) -> float:
        units = float(text)
        if units > max(self._settings.max_units, 1.0):
            raise BadCommandError("units out of range")
        return units

    def _timeout_ns(self, milliseconds: bytes, request_class: int) -> int:
        """Return the client's time: a client that names more than its class's time may not be so patient."""
        return min(
            int(float(milliseconds) * 1_000_000), 2 * self._settings.classes[request_class].deadline_ns
        )


def _check_words(words: list[bytes], is_write: bool) -> None:
    if len(words) != (5 if is_write else 4):
        raise BadCommandError("wrong number of arguments")
    if not HEX.fullmatch(words[1]) or not HEX.fullmatch(words[2]):
        raise BadCommandError("piece and id take 16 hexadecimal digits")


def _parse_attributes(text: bytes) -> dict[bytes, bytes]:
    attributes: dict[bytes, bytes] = {}
    for item in text.split(b","):
        name, separator, value = item.partition(b"=")
        if not separator or name not in ALLOWED:
            raise BadCommandError("attributes are known names and values")
        if name in attributes:
            raise BadCommandError("a name stands twice")
        attributes[name] = value
    if not attributes.keys() >= REQUIRED:
        raise BadCommandError("a name is missing")
    return attributes


def _check_numbers(attributes: dict[bytes, bytes]) -> None:
    for name in POSITIVE_NUMBERS:
        if not NUMBER.fullmatch(attributes[name]) or not float(attributes[name]):
            raise BadCommandError(f"{name.decode()} takes a positive number")
    if not HEX.fullmatch(attributes[b"volume"]):
        raise BadCommandError("volume takes 16 hexadecimal digits")


def _parse_shard(text: bytes) -> int:
    """Return the shard, -1 for any."""
    if not SHARD.fullmatch(text) or (shard := int(text)) > MAX_SHARD:
        raise BadCommandError("shard out of range")
    return shard


def _payload(words: list[bytes]) -> RespPayload:
    """Return what is forwarded: the time left, the attribute ``d``, is set anew for each attempt."""
    attributes = words[3]
    start = 0 if attributes.startswith(b"d=") else attributes.index(b",d=") + 1
    end = attributes.find(b",", start)
    return RespPayload(
        (words[0], words[1], words[2], *words[4:]),
        attributes[: start + 2],
        attributes[end:] if end >= 0 else b"",
    )
