"""The action ``runloft config write``, which writes a template or the files of a fleet."""

import argparse
import sys
from pathlib import Path

from runloft.config.faults import blocking_faults
from runloft.config.fleet.generated_file import (
    GeneratedFile,
    HandEditedError,
    generate_files,
    write_generated,
)
from runloft.config.operator.template import operator_template
from runloft.config.tool.fleet_check import check_fleet_file
from runloft.config.tool.output import print_error, print_faults, usage_error


def run(options: argparse.Namespace) -> int:
    """Write files and return the exit status."""
    return _write_from_fleet(options) if options.fleet else _write_template(options)


def _write_template(options: argparse.Namespace) -> int:
    if options.all or options.output_dir or not options.application:
        return usage_error("config write requires --application NAME or --fleet FLEET")
    try:
        text = operator_template(options.application)
        if options.output:
            mode = "w" if options.force else "x"  # don't overwrite an existing file unless forced
            with open(options.output, mode, encoding="utf-8") as file:
                file.write(text)
        else:
            sys.stdout.write(text)
    except (OSError, ValueError) as error:
        print_error(error)
        return 1
    return 0


def _write_from_fleet(options: argparse.Namespace) -> int:
    if not _names_one_or_all(options):
        return usage_error("--fleet requires either --application NAME, or both --all and --output-dir DIR")
    checked = check_fleet_file(options.fleet, options.nodes)
    print_faults(checked.faults)
    if checked.fleet is None or blocking_faults(checked.faults, options.strict):
        return 1
    applications = [application.name for application in checked.fleet.record.applications]
    if options.application and options.application not in applications:
        return usage_error(f'the fleet has no application "{options.application}"')
    names = None if options.all else [options.application]
    return max((_write(options, file) for file in generate_files(checked.fleet, names)), default=0)


def _names_one_or_all(options: argparse.Namespace) -> bool:
    """Return whether the options name either one application, or all of them and a directory."""
    single = bool(options.application) and not options.all and not options.output_dir
    all_to_directory = bool(options.all and options.output_dir) and not options.application
    return single or all_to_directory


def _write(options: argparse.Namespace, file: GeneratedFile) -> int:
    """Write or print one application's file and return the exit status."""
    if options.all or options.output:
        return _write_file(options, file)
    sys.stdout.write(file.text)
    return 0


def _write_file(options: argparse.Namespace, file: GeneratedFile) -> int:
    path = Path(options.output) if options.output else Path(options.output_dir) / f"{file.application}.toml"
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        written = write_generated(path, file.text, options.force)
    except HandEditedError as error:
        print_error(f"{error}; use --force to overwrite it")
        return 1
    except OSError as error:
        print_error(f"{path}: {error.strerror}")
        return 1
    print(f"{path}: {'written' if written else 'unchanged'}")
    return 0
