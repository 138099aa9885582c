"""The protocol between a fleet and its child processes: commands and answers, one JSON object per line.

The field ``do`` holds a command's NAME; the field ``id`` matches an answer to its command.
"""

import json
from dataclasses import asdict, dataclass, field
from typing import Any, ClassVar, TypeAlias, get_args

ConfigDocument: TypeAlias = dict[str, Any]  # a configuration file's values


@dataclass(frozen=True, slots=True)
class CollectGarbage:
    """Collect garbage before memory is measured; answered by Done."""

    NAME: ClassVar[str] = "collect"


# Commands to the store and to discovery.


@dataclass(frozen=True, slots=True)
class Listen:
    """Start all listeners; answered by Addresses."""

    NAME: ClassVar[str] = "listen"


@dataclass(frozen=True, slots=True)
class CutRegion:
    """Disconnect a region, or reconnect it; answered by Done."""

    NAME: ClassVar[str] = "cut"
    region: int
    cut: bool


@dataclass(frozen=True, slots=True)
class ReadTraffic:
    """Report the listeners' traffic, with the busiest second since ``since``; answered by Traffic."""

    NAME: ClassVar[str] = "counted"
    since: float = 0.0  # monotonic time in seconds; all processes share this clock


@dataclass(frozen=True, slots=True)
class RestartEmpty:
    """Delete all data and reset all connections; answered by Done."""

    NAME: ClassVar[str] = "empty"


@dataclass(frozen=True, slots=True)
class ListNodes:
    """List this number of nodes, one for each shard; answered by Done."""

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
    """Create and start schedulers; answered by Moment, when the last one was started."""

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
    """Restart stopped schedulers; answered by Moment, when the last one was started."""

    NAME: ClassVar[str] = "begin"
    names: list[str]


@dataclass(frozen=True, slots=True)
class StartAgreement:
    """Make all schedulers join the agreement; answered by Moment, when the last one joined."""

    NAME: ClassVar[str] = "agree"


@dataclass(frozen=True, slots=True)
class StopSchedulers:
    """Kill schedulers or shut them down gracefully; answered by Done."""

    NAME: ClassVar[str] = "end"
    names: list[str]
    graceful: bool
    keep_snapshots: bool


@dataclass(frozen=True, slots=True)
class CountNodes:
    """Report the number of ready nodes in the smallest node table; answered by NodeCount."""

    NAME: ClassVar[str] = "nodes"


@dataclass(frozen=True, slots=True)
class ReadStatus:
    """Report the status of the schedulers; answered by Status."""

    NAME: ClassVar[str] = "standing"


@dataclass(frozen=True, slots=True)
class ReadGenerationTimes:
    """Report when each scheduler first used a generation above ``above``; answered by Times."""

    NAME: ClassVar[str] = "changes"
    above: int


@dataclass(frozen=True, slots=True)
class AwaitNode:
    """Record from now on when each node table has a node; answered by Done."""

    NAME: ClassVar[str] = "await"
    uid: str


@dataclass(frozen=True, slots=True)
class ReadNodeTimes:
    """Report when the awaited node became ready in each node table that has it; answered by Times."""

    NAME: ClassVar[str] = "had"


# Commands to the rollout tool.


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
    """The answer to a command that has nothing to report."""


@dataclass(frozen=True, slots=True)
class Addresses:
    """The address of each listener; the last one of a store is for the tool alone."""

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class Traffic:
    """Bytes, connections and round trips of each listener, and the bytes of the busiest second."""

    received: list[int]
    sent: list[int]
    worst_second_bytes: int
    connections: list[int]
    round_trips: list[int] = field(default_factory=list)  # store only
    commands: int = 0  # store only
    keys: int = 0  # store only


@dataclass(frozen=True, slots=True)
class Moment:
    """A monotonic time in seconds."""

    at: float


@dataclass(frozen=True, slots=True)
class NodeCount:
    """The number of ready nodes in the smallest node table."""

    min_nodes: int


@dataclass(frozen=True, slots=True)
class Status:
    """The number of schedulers that run, are connected with their reserves, and use each generation."""

    alive: int
    connected: int
    generations: dict[str, int]  # number of schedulers by generation; JSON keys can't be numbers


@dataclass(frozen=True, slots=True)
class Times:
    """Monotonic times in seconds by scheduler."""

    times: dict[str, float]


@dataclass(frozen=True, slots=True)
class RolloutReport:
    """The outcome of one rollout, and the time and processor time that the tool spent on it."""

    started_at: float
    ended_at: float
    cpu_s: float
    done: bool
    reason: str
    left_out: int  # silent schedulers that the rollout excluded


Answer: TypeAlias = Done | Addresses | Traffic | Moment | NodeCount | Status | Times | RolloutReport


@dataclass(frozen=True, slots=True)
class Request:
    """A command with its request number."""

    number: int
    command: Command


def encode_command(number: int, command: Command) -> bytes:
    """Encode a command as a line."""
    return json.dumps({"id": number, "do": command.NAME} | asdict(command)).encode() + b"\n"


def decode_command(line: bytes) -> Request:
    """Decode a command's line."""
    document = json.loads(line)
    number = document.pop("id")
    return Request(number, COMMAND_TYPES[document.pop("do")](**document))


def encode_answer(number: int, answer: Answer) -> str:
    """Encode an answer as a line."""
    return json.dumps({"id": number} | asdict(answer)) + "\n"


def encode_error(number: int, error: str) -> str:
    """Encode the reason why a command failed as a line."""
    return json.dumps({"id": number, "error": error}) + "\n"
