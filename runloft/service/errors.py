"""Errors that make `serve` fail at start: each names the setting, address and system error, if any."""

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from runloft.errors import RunloftError


class StartupError(RunloftError):
    """The scheduler can't start; ``key`` is the setting at fault, or empty if none is."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}" if key else reason)
        self.key = key


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """An address to listen on, and the key of the setting that defines it."""

    key: str
    host: str
    port: int


class ListenError(StartupError):
    """A configured address can't be listened on."""

    def __init__(self, address: ListenAddress, cause: OSError) -> None:
        super().__init__(
            address.key, f"can't listen on {address.host}:{address.port}: {describe_os_error(cause)}"
        )
        self.address = address
        self.errno = cause.errno


class SystemResourceError(StartupError):
    """A system resource that every start needs is unavailable: a file descriptor, a file of the program."""

    def __init__(self, cause: OSError) -> None:
        super().__init__("", f"can't start: {describe_os_error(cause)}")
        self.errno = cause.errno
        self.filename = cause.filename


class MissingPackageError(StartupError):
    """A package that a setting requires is not installed."""

    def __init__(self, key: str, package: str) -> None:
        super().__init__(key, f"needs the package {package}: pip install -r requirements.txt")
        self.package = package


class InvalidSettingError(StartupError):
    """A setting that passed the checks of the configuration can't be used."""


@contextmanager
def packages_required_by(key: str) -> Iterator[None]:
    """Raise MissingPackageError if an import in the block, which only this setting requires, fails."""
    try:
        yield
    except ModuleNotFoundError as error:
        raise MissingPackageError(key, error.name or "") from error


@contextmanager
def invalid_setting_errors(key: str) -> Iterator[None]:
    """Raise InvalidSettingError if the block rejects the value of this setting."""
    try:
        yield
    except (ArithmeticError, TypeError, ValueError) as error:
        raise InvalidSettingError(key, str(error)) from error


def describe_os_error(error: OSError) -> str:
    """Return the error's text, symbol and number, and the file name if there is one."""
    text = error.strerror or str(error)
    if error.errno is not None:
        symbol = errno.errorcode.get(error.errno)
        number = f"errno {error.errno}"
        text = f"{text} ({symbol}, {number})" if symbol else f"{text} ({number})"
    return f"{text}: {error.filename}" if error.filename else text
