"""The command line."""

import argparse
import gc
import logging
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence

import anyio
import structlog

from runloft import __version__
from runloft.config.faults import ConfigError
from runloft.config.loading import UnreadableConfigError, load_config
from runloft.config.settings import Config
from runloft.core.trace import trace
from runloft.service.runner import serve

READ_TRIES, READ_AGAIN_S = 40, 0.05  # of a configuration that can't be read for a moment


def parser(tools: bool = True) -> argparse.ArgumentParser:
    """Describe the sub-commands; without the tools, whose loading would only delay a scheduler's start."""
    top = argparse.ArgumentParser(prog="runloft", description="A host-side I/O scheduler.")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one scheduler")
    run.add_argument("--config", default=os.environ.get("ROUTER_CONFIG"), help="default: $ROUTER_CONFIG")
    run.add_argument("--verbose", action="store_true", help="log at debug level")
    if not tools:
        return top
    from runloft.config import commands as commands_of_config

    commands.add_parser("version", help="print versions")
    config = commands.add_parser("config", help="write, check, explain or compare configurations")
    actions = config.add_subparsers(dest="action", required=True)
    commands_of_config.add_parsers(actions)
    commands_of_config.add_rollout_parsers(actions)
    lab = commands.add_parser("lab", help="play scenarios on loopback, with stand-ins alone")
    actions = lab.add_subparsers(dest="action", required=True)
    play = actions.add_parser("run", help="run a scenario and print what each volume got")
    play.add_argument("scenario", metavar="SCENARIO")
    play.add_argument("--seed", type=int, default=1, help="of what is sent when (default 1)")
    play.add_argument("--plot", metavar="FILE", help="draw service over time (PNG, SVG)")
    play.add_argument("--json", action="store_true", help="print as JSON")
    rollouts = actions.add_parser("rollouts", help="measure roll-outs over sidecars and lost replies")
    rollouts.add_argument("--sidecars", default="3,10,30", metavar="N,...")
    rollouts.add_argument("--lost", default="0,0.5", metavar="PART,...", help="of the store's replies")
    rollouts.add_argument("--lease-ms", type=float, default=1000.0)
    rollouts.add_argument("--seed", type=int, default=1)
    from runloft.lab.scale import options as options_of_scale

    options_of_scale.add_parser(actions)
    options_of_scale.add_capacity_parser(actions)
    from runloft.lab.soak import options as options_of_soak

    options_of_soak.add_parser(actions)
    return top


def main(argv: Sequence[str] | None = None) -> int:
    """Run a sub-command; 1 with lines on standard error where the configuration is at fault."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    options = parser(tools=arguments[:1] != ["serve"]).parse_args(arguments)
    if options.command == "version":
        from importlib.metadata import PackageNotFoundError, version

        print(f"runloft {__version__}")
        for name in ("anyio", "h11", "redis", "sortedcontainers", "structlog"):
            try:
                print(f"{name} {version(name)}")
            except PackageNotFoundError:
                print(f"{name} missing")
        return 0
    if options.command == "config":
        if options.action not in ("roll", "status", "forget"):
            from runloft.config import commands as commands_of_config

            return commands_of_config.run(options)
        # Loaded here: ``serve`` on the platform needs no client of a store.
        from runloft.agreement import commands as commands_of_rollouts

        # What is told on the way goes beside what is printed, which may be JSON.
        structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
        return commands_of_rollouts.run(options)
    if options.command == "lab":
        return _lab(options)
    level = logging.DEBUG if options.verbose else logging.INFO
    trace.enabled = options.verbose
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    # Guards the start: a reload that comes before there is anything to reload waits until ``serve`` heeds it.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))  # before it serves there is nothing to wind down
    if not options.config:
        print("runloft: no configuration: give --config or set ROUTER_CONFIG", file=sys.stderr)
        return 1
    try:
        config = load_when_readable(options.config)
    except ConfigError as error:
        return _faults(error)
    # What is loaded by now stays: collections in the middle of a turn need not walk it.
    gc.collect()
    gc.freeze()
    anyio.run(serve, config, options.config)
    return 0


def load_when_readable(path: str, sleep: Callable[[float], None] = time.sleep) -> Config:
    """Load a configuration; a file that can't be read for a moment is read again, for 2 s at most.

    Raises ConfigError where it is at fault, or could not be read to the end.
    """
    for _ in range(READ_TRIES):
        try:
            return load_config(path)
        except UnreadableConfigError as error:
            structlog.get_logger().warning("configuration can't be read yet", faults=error.faults)
            sleep(READ_AGAIN_S)
    return load_config(path)


def _lab(options: argparse.Namespace) -> int:
    try:
        # Loaded here: nothing but the laboratory needs it.
        from runloft.lab import commands, rollouts

        if options.action == "scale":
            from runloft.lab.scale import commands as scale
        if options.action == "capacity":
            from runloft.lab.scale import capacity
        if options.action == "soak":
            from runloft.lab.soak import commands as soak
    except ModuleNotFoundError as error:
        print(f"runloft: {error.name} is missing: pip install -r requirements-tools.txt", file=sys.stderr)
        return 2
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    if options.action == "scale":
        return scale.run(options)
    if options.action == "capacity":
        return capacity.run(options)
    if options.action == "soak":
        return soak.run(options)
    return rollouts.run(options) if options.action == "rollouts" else commands.run(options)


def _faults(error: ConfigError) -> int:
    for fault in error.faults:
        print(f"runloft: {fault}", file=sys.stderr)
    return 1
