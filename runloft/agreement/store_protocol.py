"""How the agreement's records are stored in Redis: keys, tags, the epoch, and the decoding of replies.

Keys, all under the prefix: ``force`` (the committed generation), ``names`` (a set of the known sidecars),
``lease:NAME`` and ``era`` (the epoch) don't expire; ``stage`` expires unless it is renewed, and
``verdicts`` (a hash) expires after it.  ``force:rank`` and ``stage:token`` are tags, written together with
the two large records, so that those are read when their tag has changed and not with every exchange.
Other keys are neither read nor written.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypeVar

import structlog

from runloft.agreement.errors import RecordError
from runloft.agreement.records import CommittedGeneration, EpochRecord

log = structlog.get_logger()
STAGE_LIFETIME_LEASES = 2  # until an unrenewed stage expires
VERDICT_LIFETIME_LEASES = 2 * STAGE_LIFETIME_LEASES
TAG_WORDS = 6  # epoch, generation, digest, token, effective time, digest of the previous content
TAG_TIME_INDEX = 4
EPOCH_CLOSED = b"settled"
NS_PER_S = 1_000_000_000
NS_PER_US = 1_000
T = TypeVar("T")


class StoreKeys:
    """The keys of all records under a prefix."""

    def __init__(self, prefix: str) -> None:
        self.committed = f"{prefix}:force"
        self.committed_tag = f"{prefix}:force:rank"
        self.stage = f"{prefix}:stage"
        self.stage_tag = f"{prefix}:stage:token"
        self.epoch = f"{prefix}:era"
        self.sidecars = f"{prefix}:names"
        self.verdicts = f"{prefix}:verdicts"
        self._lease_prefix = f"{prefix}:lease:"

    def lease(self, sidecar: str) -> str:
        """Return the key of a sidecar's lease."""
        return f"{self._lease_prefix}{sidecar}"


class NamedReply(NamedTuple):
    """A reply of the store, and the name of the sidecar whose record it should hold."""

    name: bytes | str
    text: bytes | None


def encode_tag(committed: CommittedGeneration) -> bytes:
    """Return the tag of a committed generation, by which readers see whether the record has changed."""
    previous = committed.previous.digest if committed.previous else ""
    words = (*committed.rank, committed.token, committed.effective_at_ns, previous)
    return " ".join(map(str, words)).encode()


def effective_at_ns_of(tag: bytes) -> int | None:
    """Return when the generation with this tag takes effect, or None if the tag is malformed."""
    words = tag.split(b" ")
    if len(words) != TAG_WORDS or not words[TAG_TIME_INDEX].isdigit():
        return None
    return int(words[TAG_TIME_INDEX])


def encode_epoch(epoch: EpochRecord) -> str:
    """Return the stored text of an epoch."""
    return f"{epoch.number} {EPOCH_CLOSED.decode()}" if epoch.previous_closed else f"{epoch.number}"


def decode_epoch(text: bytes | None) -> EpochRecord:
    """Decode an epoch; return ``EpochRecord()`` if the text is missing or malformed."""
    words = text.split() if text is not None else []
    if not words or not words[0].isdigit() or words[1:] not in ([], [EPOCH_CLOSED]):
        return EpochRecord()
    return EpochRecord(int(words[0]), previous_closed=len(words) > 1)


def decode_time(reply: Any) -> int:
    """Return the store's time in nanoseconds from the reply to TIME."""
    seconds, microseconds = reply
    return int(seconds) * NS_PER_S + int(microseconds) * NS_PER_US


def decode_text(value: bytes | str) -> str:
    """Return a value as ``str``."""
    return value.decode() if isinstance(value, bytes) else value


def decode_names(reply: Iterable[bytes | str]) -> frozenset[str]:
    """Decode the members of a set of names."""
    return frozenset(map(decode_text, reply))


def decode_readable(replies: Iterable[NamedReply], decode: Callable[[bytes], T]) -> dict[str, T]:
    """Return the records that can be decoded, by name; log and ignore the others."""
    records = {}
    for name, text in replies:
        try:
            if text is not None:
                records[decode_text(name)] = decode(text)
        except RecordError as error:
            log.warning("an invalid record in the store is ignored", name=decode_text(name), error=str(error))
    return records
