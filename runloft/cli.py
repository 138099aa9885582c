"""The command line."""

import argparse
import logging
import os
import sys
from collections.abc import Sequence
from importlib.metadata import PackageNotFoundError, version

import anyio
import structlog

from runloft import __version__
from runloft.net.runner import serve
from runloft.settings import ConfigError, load_config


def parser() -> argparse.ArgumentParser:
    """Describe the sub-commands."""
    top = argparse.ArgumentParser(prog="runloft", description="A host-side I/O scheduler.")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser("serve", help="run one scheduler")
    run.add_argument("--config", default=os.environ.get("ROUTER_CONFIG"), help="default: $ROUTER_CONFIG")
    run.add_argument("--verbose", action="store_true", help="log at debug level")
    commands.add_parser("version", help="print versions")
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
    level = logging.DEBUG if options.verbose else logging.INFO
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    if not options.config:
        print("runloft: no configuration: give --config or set ROUTER_CONFIG", file=sys.stderr)
        return 1
    try:
        config = load_config(options.config)
    except ConfigError as error:
        for fault in error.faults:
            print(f"runloft: {fault}", file=sys.stderr)
        return 1
    anyio.run(serve, config)
    return 0
