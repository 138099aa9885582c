"""Loading of a configuration file: the platform's JSON or an operator's TOML."""

import errno
import json
from dataclasses import replace
from pathlib import Path

from runloft.config.faults import ConfigError, blocking_faults
from runloft.config.platform_config import config_from_json
from runloft.config.settings import Config

# Read errors that may pass without a change to the file: a later attempt may succeed.
TRANSIENT_ERRORS = frozenset(
    (errno.EAGAIN, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ESTALE)
)


class UnreadableConfigError(ConfigError):
    """Raised if a file can't be read because of a transient error; its content is unknown."""


def read_file(path: str) -> bytes:
    """Return a file's bytes."""
    return Path(path).read_bytes()


def load_config(path: str) -> Config:
    """Read and check the platform's JSON or an operator's TOML, where unknown keys are faults.

    Raise UnreadableConfigError if reading fails with a transient error, and ConfigError if the
    configuration has faults.
    """
    data: bytes | None
    try:
        data = read_file(path)
    except OSError as error:
        if error.errno in TRANSIENT_ERRORS:
            raise UnreadableConfigError([f"{path}: {error}"]) from error
        data = None
    return _load_toml(path, data) if path.endswith(".toml") else _load_json(path, data)


def _load_toml(path: str, data: bytes | None) -> Config:
    """Load an operator's file; if ``data`` is None, read the file again to report why it is unreadable."""
    # Imported here to save memory and start-up time when the file is the platform's JSON.
    from runloft.config.operator.file import check_file, check_text

    checked = check_file(path) if data is None else check_text(path, data)
    if faults := blocking_faults(checked.faults):
        raise ConfigError(faults)
    return replace(config_from_json(checked.document), document=checked.document)


def _load_json(path: str, data: bytes | None) -> Config:
    try:
        raw = json.loads((read_file(path) if data is None else data).decode())
    except (OSError, ValueError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    try:
        return config_from_json(raw)
    except ConfigError as error:
        raise ConfigError([f"{path}: {fault}" for fault in error.faults]) from error
