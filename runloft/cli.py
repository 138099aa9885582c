"""The command line."""

import argparse
import gc
import logging
import os
import signal
import sys
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError, version

import anyio
import structlog

from runloft import __version__
from runloft.net.runner import serve
from runloft.operator_file import operator_file
from runloft.settings import ConfigError, load_config


def parser() -> argparse.ArgumentParser:
    """Describe the sub-commands."""
    top = argparse.ArgumentParser(prog="runloft", description="A host-side I/O scheduler.")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one scheduler")
    run.add_argument("--config", default=os.environ.get("ROUTER_CONFIG"), help="default: $ROUTER_CONFIG")
    run.add_argument("--verbose", action="store_true", help="log at debug level")
    commands.add_parser("version", help="print versions")
    config = commands.add_parser("config", help="write or check an operator's file")
    actions = config.add_subparsers(dest="action", required=True)
    write = actions.add_parser("write", help="write a valid file for an application")
    write.add_argument("--application", required=True, metavar="NAME")
    write.add_argument("--output", metavar="FILE", help="default: standard output")
    check = actions.add_parser("check", help="name each fault by its key; exit 1 if there is one")
    check.add_argument("file", metavar="FILE")
    return top


def main(argv: Sequence[str] | None = None) -> int:
    """Run a sub-command; 1 with lines on standard error where the configuration is at fault."""
    options = parser().parse_args(argv)
    if options.command == "version":
        print(f"runloft {__version__}")
        for name in ("anyio", "h11", "redis", "sortedcontainers", "structlog"):
            try:
                print(f"{name} {version(name)}")
            except PackageNotFoundError:
                print(f"{name} missing")
        return 0
    if options.command == "config":
        return _write(options) if options.action == "write" else _check(options.file)
    level = logging.DEBUG if options.verbose else logging.INFO
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    # Guards the start: a reload that comes before there is anything to reload must not end the program.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if not options.config:
        print("runloft: no configuration: give --config or set ROUTER_CONFIG", file=sys.stderr)
        return 1
    try:
        config = load_config(options.config)
    except ConfigError as error:
        return _faults(error)
    # What is loaded by now stays: collections in the middle of a turn need not walk it.
    gc.collect()
    gc.freeze()
    anyio.run(serve, config, options.config)
    return 0


def _faults(error: ConfigError) -> int:
    for fault in error.faults:
        print(f"runloft: {fault}", file=sys.stderr)
    return 1


def _check(path: str) -> int:
    try:
        load_config(path)
    except ConfigError as error:
        return _faults(error)
    print(f"{path}: no fault")
    return 0


def _write(options: argparse.Namespace) -> int:
    try:
        text = operator_file(options.application)
        if options.output:
            with open(options.output, "x", encoding="utf-8") as file:  # never over a file that is there
                file.write(text)
        else:
            sys.stdout.write(text)
    except (OSError, ValueError) as error:
        print(f"runloft: {error}", file=sys.stderr)
        return 1
    return 0
