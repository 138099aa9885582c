"""Errors that end `serve` before it serves: each names the setting, the address and the system's error."""

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from runloft.errors import RunloftError


class StartupError(RunloftError):
    """A scheduler can't start; ``key`` is the setting at fault, empty where none is."""

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}" if key else reason)
        self.key = key


@dataclass(frozen=True, slots=True)
class ListenAddress:
    """Where to listen, and the setting that says so."""

    key: str
    host: str
    port: int


class ListenError(StartupError):
    """An address of the configuration can't be listened on."""

    def __init__(self, address: ListenAddress, cause: OSError) -> None:
        super().__init__(
            address.key, f"can't listen on {address.host}:{address.port}: {describe_os_error(cause)}"
        )
        self.address = address
        self.errno = cause.errno


class SystemResourceError(StartupError):
    """The system refuses what every start needs: the event loop's descriptors, a file of the program."""

    def __init__(self, cause: OSError) -> None:
        super().__init__("", f"can't start: {describe_os_error(cause)}")
        self.errno = cause.errno
        self.filename = cause.filename


class MissingPackageError(StartupError):
    """A package is not installed that a setting needs."""

    def __init__(self, key: str, package: str) -> None:
        super().__init__(key, f"needs the package {package}: pip install -r requirements.txt")
        self.package = package


class InvalidSettingError(StartupError):
    """A setting has passed the checks of the configuration and still can't be used."""


@contextmanager
def packages_required_by(key: str) -> Iterator[None]:
    """Raise MissingPackageError where an import inside fails, which only this setting needs."""
    try:
        yield
    except ModuleNotFoundError as error:
        raise MissingPackageError(key, error.name or "") from error


@contextmanager
def value_checked_by_use(key: str) -> Iterator[None]:
    """Raise InvalidSettingError where a value turns out to be of no use inside."""
    try:
        yield
    except (ArithmeticError, TypeError, ValueError) as error:
        raise InvalidSettingError(key, str(error)) from error


def describe_os_error(error: OSError) -> str:
    """Return the system's text, the error's symbol and number, and the file where there is one."""
    text = error.strerror or str(error)
    if error.errno is not None:
        symbol = errno.errorcode.get(error.errno)
        number = f"errno {error.errno}"
        text = f"{text} ({symbol}, {number})" if symbol else f"{text} ({number})"
    return f"{text}: {error.filename}" if error.filename else text
