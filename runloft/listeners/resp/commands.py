"""Translation of the commands IO.IN and IO.OUT into ``RequestSpec``; invalid commands are rejected."""

import re

from runloft.config.settings import Config
from runloft.core.model import RequestSpec
from runloft.upstream.payloads import RespPayload

MAX_SHARD = 65_535  # limit of the simulator's wire format
NETWORK_DELAY_ALLOWANCE_NS = 25_000_000  # subtracted from client timeouts, as no message reports the delays
MIN_REMAINING_TIME_NS = 1_000_000
HEX = re.compile(rb"[0-9a-fA-F]{16}")
# Only digits: ``float`` and ``int`` would also accept signs, spaces, underscores, ``nan`` and ``inf``.
NUMBER = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
SHARD = re.compile(rb"-1|[0-9]{1,5}")
POSITIVE_NUMBER_ATTRIBUTES = (b"d", b"units", b"hosts")
REQUIRED_ATTRIBUTES = frozenset((b"c", b"t", b"d", b"volume", b"units", b"shard", b"hosts"))
ALLOWED_ATTRIBUTES = REQUIRED_ATTRIBUTES | {b"r", b"k"}


class BadCommandError(ValueError):
    """An invalid command; the connection stays open."""


class CommandTranslator:
    """Translates commands into requests, with the class and plan names of a configuration."""

    def __init__(self, config: Config) -> None:
        self._classes = {name.encode(): index for index, name in enumerate(config.class_names)}
        self._plans = {name.encode(): index for index, name in enumerate(config.plan_names)}
        self._settings = config.settings
        self._distinguishes_writes = any(request_class.writes for request_class in config.settings.classes)

    def translate(self, words: list[bytes], waited_ns: int = 0) -> RequestSpec:
        """Translate a command that arrived ``waited_ns`` ago; raise BadCommandError if it is invalid."""
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
            # The client's timeout runs from when it sent the command until it has received the response's
            # last byte, so an allowance for both network delays is subtracted.
            time_left_ns=max(timeout_ns - NETWORK_DELAY_ALLOWANCE_NS - waited_ns, MIN_REMAINING_TIME_NS),
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
        """Return the client's timeout, limited to twice its class's deadline.

        A client that states a longer timeout may still give up earlier.
        """
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
    for item in text.split(b",", len(ALLOWED_ATTRIBUTES)):
        name, separator, value = item.partition(b"=")
        if not separator or name not in ALLOWED_ATTRIBUTES:
            raise BadCommandError("attributes are known names and values")
        if name in attributes:
            raise BadCommandError("a name stands twice")
        attributes[name] = value
    if not attributes.keys() >= REQUIRED_ATTRIBUTES:
        raise BadCommandError("a name is missing")
    return attributes


def _check_numbers(attributes: dict[bytes, bytes]) -> None:
    for name in POSITIVE_NUMBER_ATTRIBUTES:
        if not NUMBER.fullmatch(attributes[name]) or not float(attributes[name]):
            raise BadCommandError(f"{name.decode()} takes a positive number")
    if not HEX.fullmatch(attributes[b"volume"]):
        raise BadCommandError("volume takes 16 hexadecimal digits")


def _parse_shard(text: bytes) -> int:
    """Return the shard; -1 means any shard."""
    if not SHARD.fullmatch(text) or (shard := int(text)) > MAX_SHARD:
        raise BadCommandError("shard out of range")
    return shard


def _payload(words: list[bytes]) -> RespPayload:
    """Return the payload to forward, split around the value of ``d``: each attempt sets its own time left."""
    attributes = words[3]
    start = 0 if attributes.startswith(b"d=") else attributes.index(b",d=") + 1
    end = attributes.find(b",", start)
    return RespPayload(
        (words[0], words[1], words[2], *words[4:]),
        attributes[: start + 2],
        attributes[end:] if end >= 0 else b"",
    )
