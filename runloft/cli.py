"""The command line: one function per sub-command, which imports only the modules that it needs."""

import argparse
import gc
import logging
import sys
import time
from collections.abc import Callable, Sequence

import structlog

from runloft import __version__
from runloft.arguments import build_parser
from runloft.config.faults import ConfigError
from runloft.config.loading import UnreadableConfigError, load_config
from runloft.config.settings import Config
from runloft.core.trace import trace
from runloft.service.errors import StartupError
from runloft.service.server import run_server
from runloft.service.signals import defer_reload, exit_on_sigterm

READ_RETRIES = 40  # 2 s in total; read errors may be temporary
READ_RETRY_S = 0.05
# Raised by values that the checks of the platform's JSON miss; an operator's file is checked in full.
UNCHECKED_VALUE_ERRORS = (ArithmeticError, LookupError, RecursionError, TypeError, ValueError)
AGREEMENT_ACTIONS = ("roll", "status", "forget")
DEPENDENCIES = ("anyio", "h11", "redis", "sortedcontainers", "structlog")


def main(argv: Sequence[str] | None = None) -> int:
    """Run a sub-command and return the exit code; errors are printed to standard error."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    options = build_parser(with_tools=arguments[:1] != ["serve"]).parse_args(arguments)
    match options.command:
        case "version":
            return print_versions()
        case "config":
            return run_config(options)
        case "lab":
            return run_lab(options)
    return run_serve(options)


def print_versions() -> int:
    """Print the versions of runloft and of the packages that it depends on."""
    from importlib.metadata import PackageNotFoundError, version

    print(f"runloft {__version__}")
    for name in DEPENDENCIES:
        try:
            print(f"{name} {version(name)}")
        except PackageNotFoundError:
            print(f"{name} missing")
    return 0


def run_config(options: argparse.Namespace) -> int:
    """Run an action on configuration files or on the agreement's store."""
    if options.action not in AGREEMENT_ACTIONS:
        from runloft.config import commands as config_commands

        return config_commands.run(options)
    # Imported here because `serve` on the platform needs no store client.
    from runloft.agreement import commands as agreement_commands

    # Logs go to standard error because standard output may be JSON.
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    return agreement_commands.run(options)


def run_lab(options: argparse.Namespace) -> int:
    """Run an action of the lab; return 2 if a package that it requires is not installed."""
    try:
        run = _load_lab_action(options.action)
    except ModuleNotFoundError as error:
        print(f"runloft: {error.name} is missing: pip install -r requirements-tools.txt", file=sys.stderr)
        return 2
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    return run(options)


def _load_lab_action(action: str) -> Callable[[argparse.Namespace], int]:
    """Import and return the function of a lab action; other sub-commands don't need its modules."""
    from runloft.lab import commands, rollouts

    match action:
        case "scale":
            from runloft.lab.scale import commands as scale

            return scale.run
        case "capacity":
            from runloft.lab.scale import capacity

            return capacity.run
        case "crowd":
            from runloft.lab.crowd import commands as crowd

            return crowd.run
        case "flood":
            from runloft.lab.flood import commands as flood

            return flood.run
        case "qualify":
            from runloft.lab.qualify import commands as qualify

            return qualify.run
        case "shutdowns":
            from runloft.lab.crowd import commands as crowd

            return crowd.run_shutdowns
        case "soak":
            from runloft.lab.soak import commands as soak

            return soak.run
        case "rollouts":
            return rollouts.run
    return commands.run


def run_serve(options: argparse.Namespace) -> int:
    """Run one scheduler; if it can't start, print one line for each fault and return 1."""
    configure_logging(options.verbose)
    defer_reload()
    exit_on_sigterm()
    if not options.config:
        print("runloft: no configuration: give --config or set ROUTER_CONFIG", file=sys.stderr)
        return 1
    try:
        config = load_when_readable(options.config)
    except ConfigError as error:
        for fault in error.faults:
            print(f"runloft: {fault}", file=sys.stderr)
        return 1
    # Excludes objects that live as long as the process from garbage collection, which delays requests.
    gc.collect()
    gc.freeze()
    try:
        run_server(config, options.config)
    except StartupError as error:
        # Prevents asyncio from reporting a partly initialized event loop after the error message.
        sys.unraisablehook = lambda _: None
        print(f"runloft: {options.config}: {error}", file=sys.stderr)
        return 1
    return 0


def configure_logging(verbose: bool) -> None:
    """Log to standard error; ``verbose`` enables the debug level and request traces."""
    trace.enabled = verbose
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.DEBUG if verbose else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def load_when_readable(path: str, sleep: Callable[[float], None] = time.sleep) -> Config:
    """Load a configuration; retry for up to 2 s if a temporary error prevents reading the file.

    Raise ConfigError if the configuration is invalid or the file still can't be read.
    """
    try:
        for _ in range(READ_RETRIES):
            try:
                return load_config(path)
            except UnreadableConfigError as error:
                structlog.get_logger().warning(
                    "configuration file can't be read, retrying", faults=error.faults
                )
                sleep(READ_RETRY_S)
        return load_config(path)
    except ConfigError:
        raise
    except UNCHECKED_VALUE_ERRORS as error:
        reason = f"can't be read as a configuration: {type(error).__name__}: {error}"
        raise ConfigError([f"{path}: {reason}"]) from error
