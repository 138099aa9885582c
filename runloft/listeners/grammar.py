"""IO.IN and IO.OUT into ``RequestSpec``: what does not fit the protocol to the letter is never served."""

import re

from runloft.config.settings import Config
from runloft.core.model import RequestSpec
from runloft.upstream.payloads import RespPayload

MOST_SHARD = 65_535  # as on the simulator's wire
TRAVEL_NS = 25_000_000  # of a client's time, for ways whose length nobody tells
HEX = re.compile(rb"[0-9a-fA-F]{16}")
# ``float`` and ``int`` take signs, blanks, underscores and words; a figure here is digits alone.
FIGURE = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
SHARD = re.compile(rb"-1|[0-9]{1,5}")
NEEDED = frozenset((b"c", b"t", b"d", b"volume", b"units", b"shard", b"hosts"))
ALLOWED = NEEDED | {b"r", b"k"}


class BadCommandError(ValueError):
    """A command that can't be served; the connection goes on."""


class Translator:
    """Commands into requests, by the names in the settings."""

    def __init__(self, config: Config) -> None:
        self.classes = {name.encode(): index for index, name in enumerate(config.class_names)}
        self.plans = {name.encode(): index for index, name in enumerate(config.plan_names)}
        self.settings = config.settings
        self.tells_writes = any(request_class.writes for request_class in config.settings.classes)

    def ask(self, words: list[bytes], waited_ns: int = 0) -> RequestSpec:
        """Translate one command that came so long ago."""
        is_write = words[0].upper() == b"IO.OUT"
        if len(words) != (5 if is_write else 4):
            raise BadCommandError("wrong number of arguments")
        if not HEX.fullmatch(words[1]) or not HEX.fullmatch(words[2]):
            raise BadCommandError("piece and id take 16 hexadecimal digits")
        pairs, attributes = self._pairs(words[3]), words[3]
        request_class, plan = self.classes.get(pairs[b"c"]), self.plans.get(pairs[b"t"])
        if request_class is None or plan is None:
            raise BadCommandError("unknown class or plan")
        if self.tells_writes and self.settings.classes[request_class].writes is not is_write:
            raise BadCommandError("the class goes with the other command")
        for name in (b"d", b"units", b"hosts"):
            if not FIGURE.fullmatch(pairs[name]) or not float(pairs[name]):
                raise BadCommandError(f"{name.decode()} takes a positive number")
        if not HEX.fullmatch(pairs[b"volume"]):
            raise BadCommandError("volume takes 16 hexadecimal digits")
        if not SHARD.fullmatch(pairs[b"shard"]) or (shard := int(pairs[b"shard"])) > MOST_SHARD:
            raise BadCommandError("shard out of range")
        if pairs.get(b"r", b"1") not in (b"0", b"1"):
            raise BadCommandError("r takes 0 or 1")
        units = float(pairs[b"units"])
        if units > max(self.settings.max_units, 1.0):
            raise BadCommandError("units out of range")
        # A client that names more than its class's time is not held to be more patient than that.
        wait_ns = min(
            int(float(pairs[b"d"]) * 1_000_000), 2 * self.settings.classes[request_class].deadline_ns
        )
        at = 0 if attributes.startswith(b"d=") else attributes.index(b",d=") + 1
        after = attributes.find(b",", at)
        return RequestSpec(
            request_class=request_class,
            plan=plan,
            volume=int(pairs[b"volume"], 16),
            units=units,
            # Guards answers given at the last moment: the client counts from when it sent, and waits
            # for the answer's last byte.
            time_left_ns=max(wait_ns - TRAVEL_NS - waited_ns, 1_000_000),
            shard=shard if shard >= 0 else None,
            payload=RespPayload(
                (words[0], words[1], words[2], *words[4:]),
                attributes[: at + 2],
                attributes[after:] if after >= 0 else b"",
            ),
            key=int(words[1], 16),
            volume_hosts=max(1.0, float(pairs[b"hosts"])),
            is_write=is_write,
            is_client_retry=pairs.get(b"r") == b"1",
            id=words[2].lower(),
        )

    def _pairs(self, attributes: bytes) -> dict[bytes, bytes]:
        pairs: dict[bytes, bytes] = {}
        for item in attributes.split(b","):
            name, mark, value = item.partition(b"=")
            if not mark or name not in ALLOWED:
                raise BadCommandError("attributes are known names and values")
            if name in pairs:
                raise BadCommandError("a name stands twice")
            pairs[name] = value
        if not pairs.keys() >= NEEDED:
            raise BadCommandError("a name is missing")
        return pairs
