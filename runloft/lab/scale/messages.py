"""What a fleet and its child processes tell each other: commands and answers, one JSON object a line.

A command's NAME stands on its line as ``do``; ``id`` joins an answer to its command.
"""

import json
from dataclasses import asdict, dataclass, field
from typing import Any, ClassVar, TypeAlias, get_args

ConfigDocument: TypeAlias = dict[str, Any]  # a configuration file's values


@dataclass(frozen=True, slots=True)
class CollectGarbage:
    """Release unused memory before memory is read; answered by Done."""

    NAME: ClassVar[str] = "collect"


# Commands to the store and the discovery.


@dataclass(frozen=True, slots=True)
class Listen:
    """Start all listeners; answered by Addresses."""

    NAME: ClassVar[str] = "listen"


@dataclass(frozen=True, slots=True)
class CutRegion:
    """Cut a region off, or end the cut; answered by Done."""

    NAME: ClassVar[str] = "cut"
    region: int
    cut: bool


@dataclass(frozen=True, slots=True)
class ReadTraffic:
    """Report the listeners' traffic, with the worst second since then; answered by Traffic."""

    NAME: ClassVar[str] = "counted"
    since: float = 0.0  # of the monotonic clock, which all processes share


@dataclass(frozen=True, slots=True)
class RestartEmpty:
    """Restart with nothing stored; answered by Done."""

    NAME: ClassVar[str] = "empty"


@dataclass(frozen=True, slots=True)
class ListNodes:
    """List so many nodes, one for each shard; answered by Done."""

    NAME: ClassVar[str] = "list"
    nodes: int


@dataclass(frozen=True, slots=True)
class ReplaceNode:
    """List another node for a shard; answered by Done."""

    NAME: ClassVar[str] = "replace"
    shard: int
    node: int


# Commands to the hollow schedulers.


@dataclass(frozen=True, slots=True)
class MakeSchedulers:
    """Make schedulers and start them; answered by Moment, when the last was started."""

    NAME: ClassVar[str] = "make"
    names: list[str]
    regions: list[int]  # of each name
    stores: list[str]  # by region
    discoveries: list[str]  # by region
    directory: str
    lease_ms: int
    volumes: int
    agree: bool


@dataclass(frozen=True, slots=True)
class StartSchedulers:
    """Start schedulers again; answered by Moment, when the last was started."""

    NAME: ClassVar[str] = "begin"
    names: list[str]


@dataclass(frozen=True, slots=True)
class StartAgreement:
    """Let all schedulers join the agreement; answered by Moment, when the last did."""

    NAME: ClassVar[str] = "agree"


@dataclass(frozen=True, slots=True)
class StopSchedulers:
    """Stop schedulers, killed or in order; answered by Done."""

    NAME: ClassVar[str] = "end"
    names: list[str]
    graceful: bool
    keep_snapshots: bool


@dataclass(frozen=True, slots=True)
class CountNodes:
    """Report the fewest nodes that any scheduler's table has; answered by NodeCount."""

    NAME: ClassVar[str] = "nodes"


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """Report how the schedulers stand; answered by Status."""

    NAME: ClassVar[str] = "standing"


@dataclass(frozen=True, slots=True)
class ReadGenerationTimes:
    """Report when each scheduler first served by a later generation; answered by Times."""

    NAME: ClassVar[str] = "changes"
    above: int


@dataclass(frozen=True, slots=True)
class AwaitNode:
    """Watch each table, from now on, for a node; answered by Done."""

    NAME: ClassVar[str] = "await"
    uid: str


@dataclass(frozen=True, slots=True)
class ReadNodeTimes:
    """Report when the awaited node came into each table that has it; answered by Times."""

    NAME: ClassVar[str] = "had"


# Commands to the roll-out tool.


@dataclass(frozen=True, slots=True)
class RollOut:
    """Roll out a content that was never committed before; answered by RolloutReport."""

    NAME: ClassVar[str] = "roll"
    url: str
    lease_ms: int
    number: int
    raw: ConfigDocument
    timeout_s: float


Command: TypeAlias = (
    CollectGarbage
    | Listen
    | CutRegion
    | ReadTraffic
    | RestartEmpty
    | ListNodes
    | ReplaceNode
    | MakeSchedulers
    | StartSchedulers
    | StartAgreement
    | StopSchedulers
    | CountNodes
    | ReadStatus
    | ReadGenerationTimes
    | AwaitNode
    | ReadNodeTimes
    | RollOut
)
COMMAND_TYPES: dict[str, type[Command]] = {command.NAME: command for command in get_args(Command)}


@dataclass(frozen=True, slots=True)
class Done:
    """A command that has nothing to report was carried out."""


@dataclass(frozen=True, slots=True)
class Addresses:
    """Where each listener is; the last of a store's is the tool's own."""

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes, connections and round trips of each listener, with the most bytes of any second."""

    received: list[int]
    sent: list[int]
    worst_second_bytes: int
    connections: list[int]
    round_trips: list[int] = field(default_factory=list)  # a store's
    commands: int = 0  # a store's
    keys: int = 0  # a store's


@dataclass(frozen=True, slots=True)
class Moment:
    """A moment of the monotonic clock, in seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class NodeCount:
    """The fewest nodes that any scheduler's table has."""

    min_nodes: int


@dataclass(frozen=True, slots=True)
class Status:
    """How many schedulers run, how many are connected with their reserves, and by which generation."""

    alive: int
    connected: int
    generations: dict[str, int]  # schedulers by generation; JSON has no numbers as keys


@dataclass(frozen=True, slots=True)
class Times:
    """Moments of the monotonic clock by scheduler, in seconds."""

    times: dict[str, float]


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """What one roll-out came to, and what the tool spent on it."""

    started_at: float
    ended_at: float
    cpu_s: float
    done: bool
    reason: str
    left_out: int  # silent schedulers, which it went on without


Answer: TypeAlias = Done | Addresses | Traffic | Moment | NodeCount | Status | Times | RolloutReport


@dataclass(frozen=True, slots=True)
class Request:
    """A command with its number."""

    number: int
    command: Command


def encode_command(number: int, command: Command) -> bytes:
    """Return a command's line."""
    return json.dumps({"id": number, "do": command.NAME} | asdict(command)).encode() + b"\n"


def decode_command(line: bytes) -> Request:
    """Return the command that a line holds."""
    document = json.loads(line)
    number = document.pop("id")
    return Request(number, COMMAND_TYPES[document.pop("do")](**document))


def encode_answer(number: int, answer: Answer) -> str:
    """Return an answer's line."""
    return json.dumps({"id": number} | asdict(answer)) + "\n"


def encode_error(number: int, error: str) -> str:
    """Return the line that says why a command could not be carried out."""
    return json.dumps({"id": number, "error": error}) + "\n"
