"""What lies in the store: what is in force, what is staged, who serves by what; and reading it back."""

import json
from dataclasses import dataclass, field
from typing import Any

from runloft.agreement.content import Content, ContentError, content_from

FORMAT = 1
LEASE_FORMAT = 2  # 1 had no fence and ran out by the store's clock: whoever writes it can't be left out
Rank = tuple[int, int, str]
Mark = tuple[str, int]
NOTHING: Rank = (0, 0, "")  # the rank of no generation at all


class RecordError(ValueError):
    """What was read is no record of this kind: another version's, another program's, or cut off."""


@dataclass(frozen=True, slots=True)
class Force:
    """A generation in force from ``at_ns`` of the store's time on; until then, the one before it."""

    generation: int
    content: Content
    at_ns: int = 0
    before: Content | None = None
    token: str = ""  # of the roll-out that brought it; empty: a sidecar's own, the first
    by: str = ""
    era: int = 0  # of the store in which a roll-out brought it; 0: no roll-out did

    @property
    def rank(self) -> Rank:
        """Order generations: of two that claim to be in force the higher one is."""
        return self.era, self.generation, self.content.digest

    @property
    def name(self) -> tuple[int, str]:
        """Give what a lease says of it."""
        return self.generation, self.content.digest

    def dump(self) -> str:
        """Give its text."""
        return _dump(
            generation=self.generation,
            content=self.content.as_json(),
            at_ns=self.at_ns,
            before=self.before.as_json() if self.before else None,
            token=self.token,
            by=self.by,
            era=self.era,
        )


def rank_of(force: Force | None) -> Rank:
    """Give the rank of what is in force, or of nothing."""
    return force.rank if force is not None else NOTHING


@dataclass(frozen=True, slots=True)
class Stage:
    """A generation that is asked about."""

    token: str
    generation: int
    content: Content
    by: str = ""
    era: int = 0

    def dump(self) -> str:
        """Give its text."""
        content = self.content.as_json()
        return _dump(token=self.token, generation=self.generation, content=content, by=self.by, era=self.era)


@dataclass(frozen=True, slots=True)
class Lease:
    """What a sidecar serves by; it stays in the store until the sidecar leaves or has been fenced.

    ``hearing`` changes with every exchange that the sidecar heard an answer to, ``mark`` with every one that
    it asked.  Who watches them by a clock of his own knows how long the sidecar has heard nothing, and how
    long it has said nothing, whatever the store's clock does.
    """

    name: str
    incarnation: str
    generation: int
    digest: str
    own: str  # digest of what its own file says
    differences: int = 0
    held: int = 0
    since_ns: int = 0  # store's time from which it has served by this
    copy_age_s: float = -1.0  # of the local copy that it started from; below 0: it did not
    asked: int = 0  # exchanges, since its start
    heard: int = 0  # exchanges that were answered, since its start
    heard_ns: int = 0  # store's time of the last of them: for those who read, nothing is decided by it
    fence_ns: int = 0  # it reserves nothing once it has heard no answer for so long
    reserves: bool = False  # it holds the reserves of what it serves by

    @property
    def hearing(self) -> Mark:
        """Give what changes while it hears."""
        return self.incarnation, self.heard

    @property
    def mark(self) -> Mark:
        """Give what changes while it asks, heard or not."""
        return self.incarnation, self.asked

    @property
    def serves(self) -> tuple[int, str]:
        """Give what it serves by: generation, digest."""
        return self.generation, self.digest

    def dump(self) -> str:
        """Give its text."""
        return _dump(LEASE_FORMAT, **{name: getattr(self, name) for name in self.__slots__})


@dataclass(frozen=True, slots=True)
class Verdict:
    """A sidecar's answer to a stage."""

    name: str
    incarnation: str
    token: str
    refusals: tuple[str, ...] = ()

    def dump(self) -> str:
        """Give its text."""
        return _dump(
            name=self.name, incarnation=self.incarnation, token=self.token, refusals=list(self.refusals)
        )


@dataclass(frozen=True, slots=True)
class View:
    """What one exchange with the store showed, at one instant of its time."""

    now_ns: int
    force: Force | None = None
    stage: Stage | None = None
    names: frozenset[str] = frozenset()  # every sidecar known; told to the tool alone, as the next two
    leases: dict[str, Lease] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    era: int = 0  # of the store: it differs once the store has lost what it held; 0: nobody has begun one
    settled: bool = False  # whoever was cut off when the era began has been fenced since

    def foreign(self) -> set[str]:
        """Give those that are known by no lease of this format: of a version before, or spoilt."""
        return set(self.names - self.leases.keys())

    def behind(self) -> set[str]:
        """Give those that serve by something else than what is in force."""
        if self.force is None:
            return set()
        name = self.force.name
        return {sidecar for sidecar, lease in self.leases.items() if lease.serves != name}


def _dump(number: int = FORMAT, /, **values: Any) -> str:
    return json.dumps({"format": number, **values}, sort_keys=True, separators=(",", ":"))


def _load(text: str | bytes, number: int = FORMAT) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"no record: {error}") from None
    if not isinstance(raw, dict) or raw.get("format") != number:
        raise RecordError("a record of another format")
    return raw


def force_from(text: str | bytes) -> Force:
    """Read what is in force."""
    raw = _load(text)
    try:
        before = raw["before"]
        return Force(
            int(raw["generation"]),
            content_from(raw["content"]),
            int(raw["at_ns"]),
            content_from(before) if before is not None else None,
            str(raw["token"]),
            str(raw["by"]),
            int(raw.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError, ContentError) as error:
        raise RecordError(f"not what is in force: {error!r}") from None


def stage_from(text: str | bytes) -> Stage:
    """Read a stage."""
    raw = _load(text)
    try:
        return Stage(
            str(raw["token"]),
            int(raw["generation"]),
            content_from(raw["content"]),
            str(raw["by"]),
            int(raw.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError, ContentError) as error:
        raise RecordError(f"no stage: {error!r}") from None


def lease_from(text: str | bytes) -> Lease:
    """Read a lease."""
    raw = _load(text, LEASE_FORMAT)
    try:
        return Lease(
            str(raw["name"]), str(raw["incarnation"]), int(raw["generation"]), str(raw["digest"]),
            str(raw["own"]), int(raw["differences"]), int(raw["held"]), int(raw["since_ns"]),
            float(raw["copy_age_s"]), int(raw["asked"]), int(raw["heard"]), int(raw["heard_ns"]),
            int(raw["fence_ns"]), bool(raw["reserves"]),
        )  # fmt: skip
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"no lease: {error!r}") from None


def verdict_from(text: str | bytes) -> Verdict:
    """Read a verdict."""
    raw = _load(text)
    try:
        refusals = tuple(str(one) for one in raw["refusals"])
        return Verdict(str(raw["name"]), str(raw["incarnation"]), str(raw["token"]), refusals)
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"no verdict: {error!r}") from None
