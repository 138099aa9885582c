"""What lies in the store: what is in force, what is staged, who serves by what; and reading it back."""

import json
from dataclasses import dataclass, field
from typing import Any

from runloft.config.agreement.content import Content, ContentError, content_from

FORMAT = 1
Rank = tuple[int, str]
NOTHING: Rank = (0, "")  # the rank of no generation at all


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

    @property
    def rank(self) -> Rank:
        """Order generations: of two that claim to be in force the higher one is."""
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

    def dump(self) -> str:
        """Give its text."""
        content = self.content.as_json()
        return _dump(token=self.token, generation=self.generation, content=content, by=self.by)


@dataclass(frozen=True, slots=True)
class Lease:
    """What a sidecar serves by; it lies in the store until the lease runs out."""

    name: str
    incarnation: str
    generation: int
    digest: str
    own: str  # digest of what its own file says
    differences: int = 0
    held: int = 0
    since_ns: int = 0  # store's time from which it has served by this
    copy_age_s: float = -1.0  # of the local copy that it started from; below 0: it did not

    def dump(self) -> str:
        """Give its text."""
        return _dump(**{name: getattr(self, name) for name in self.__slots__})


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
    names: frozenset[str] = frozenset()  # every sidecar known, whether its lease holds or not
    leases: dict[str, Lease] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)

    def behind(self) -> set[str]:
        """Give those that serve by something else than what is in force."""
        if self.force is None:
            return set()
        rank = self.force.rank
        return {name for name, lease in self.leases.items() if (lease.generation, lease.digest) != rank}


def _dump(**values: Any) -> str:
    return json.dumps({"format": FORMAT, **values}, sort_keys=True, separators=(",", ":"))


def _load(text: str | bytes) -> dict[str, Any]:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"no record: {error}") from None
    if not isinstance(raw, dict) or raw.get("format") != FORMAT:
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
        )
    except (KeyError, TypeError, ValueError, ContentError) as error:
        raise RecordError(f"not what is in force: {error!r}") from None


def stage_from(text: str | bytes) -> Stage:
    """Read a stage."""
    raw = _load(text)
    try:
        return Stage(str(raw["token"]), int(raw["generation"]), content_from(raw["content"]), str(raw["by"]))
    except (KeyError, TypeError, ValueError, ContentError) as error:
        raise RecordError(f"no stage: {error!r}") from None


def lease_from(text: str | bytes) -> Lease:
    """Read a lease."""
    raw = _load(text)
    try:
        return Lease(
            str(raw["name"]), str(raw["incarnation"]), int(raw["generation"]), str(raw["digest"]),
            str(raw["own"]), int(raw["differences"]), int(raw["held"]), int(raw["since_ns"]),
            float(raw["copy_age_s"]),
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
