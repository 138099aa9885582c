"""A failed start exits with code 1 and prints one line with the setting, the address and the errno."""

import errno
import json
import os
import re
import resource
import socket
import subprocess
import sys
import time
from dataclasses import dataclass

import pytest

from runloft.errors import RunloftError
from runloft.service.errors import ListenAddress, ListenError, MissingPackageError, packages_required_by
from tests.support.commands import PING, PONG
from tests.support.standins import Program, config, entry

RETRY = "opening a listening socket failed, will retry"
ADDRESS_IN_USE = f"Address already in use (EADDRINUSE, errno {errno.EADDRINUSE})"
TOO_MANY_FILES = f"Too many open files (EMFILE, errno {errno.EMFILE})"


@dataclass
class FailedStart:
    """The result of a failed start; ``lines`` excludes log lines of retries and of opened listeners."""

    exit_code: int
    seconds: float
    lines: list[str]
    retries: int


@pytest.fixture
def start(tmp_path):
    path = tmp_path / "config.json"

    def start(raw, descriptors=None, code=None):
        if raw is not None:
            path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
        started_at = time.monotonic()

        def limit_descriptors():
            if descriptors is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

        completed = subprocess.run(
            [sys.executable, *(["-c", code] if code else ["-m", "runloft"]), "serve"],
            env=os.environ | {"ROUTER_CONFIG": str(path)},
            stderr=subprocess.PIPE,
            text=True,
            timeout=30,
            preexec_fn=limit_descriptors,
        )
        lines = completed.stderr.replace(str(path), "CONFIG").splitlines()
        faults = [line for line in lines if RETRY not in line and "serving" not in line]
        retries = sum(RETRY in line for line in lines)
        return FailedStart(completed.returncode, time.monotonic() - started_at, faults, retries)

    start.path = path
    return start


@pytest.fixture
def used_address():
    with socket.create_server(("127.0.0.1", 0)) as sock:
        yield f"127.0.0.1:{sock.getsockname()[1]}"


def platform_config(**changes):
    return config("127.0.0.1:1", [entry("127.0.0.1:2")]) | changes


def operator_config(**objects):
    raw = config("127.0.0.1:1", [entry("127.0.0.1:2")], "127.0.0.1:2")
    return raw | {"objects": raw["objects"] | objects}


@pytest.mark.parametrize("key", ["listen", "objects.listen"])
def test_listening_address_in_use_is_tried_for_three_seconds_and_named(start, used_address, key):
    raw = operator_config(listen=used_address) if key == "objects.listen" else None
    failed = start(raw or platform_config(listen=used_address))
    assert failed.lines == [f"runloft: CONFIG: {key}: can't listen on {used_address}: {ADDRESS_IN_USE}"]
    assert failed.exit_code == 1
    assert failed.retries == 60 and failed.seconds >= 3.0


def test_listening_address_of_another_machine_is_named(start):
    failed = start(platform_config(listen="192.0.2.1:7000"))
    reason = f"Cannot assign requested address (EADDRNOTAVAIL, errno {errno.EADDRNOTAVAIL})"
    assert failed.lines == [f"runloft: CONFIG: listen: can't listen on 192.0.2.1:7000: {reason}"]
    assert failed.exit_code == 1


def test_admin_address_in_use_is_named(start, used_address):
    failed = start(platform_config(admin={"listen": used_address}))
    assert failed.lines == [
        f"runloft: CONFIG: admin.listen: can't listen on {used_address}: {ADDRESS_IN_USE}"
    ]
    assert failed.exit_code == 1


@pytest.mark.parametrize("descriptors", [5, 6])
def test_descriptors_exhausted_at_the_start_are_named(start, descriptors):
    """With 5, the event loop has none left; with 6, the module of the signal receiver can't be opened."""
    failed = start(platform_config(), descriptors)
    (line,) = failed.lines
    assert line.startswith(f"runloft: CONFIG: can't start: {TOO_MANY_FILES}")
    assert failed.exit_code == 1


def test_descriptors_exhausted_by_the_object_listener_are_named(start):
    failed = start(operator_config(), descriptors=7)
    (line,) = failed.lines
    assert line.startswith(f"runloft: CONFIG: can't start: {TOO_MANY_FILES}")
    assert failed.exit_code == 1


@pytest.mark.parametrize(
    "raw, line",
    [
        (operator_config(store="redis://127.0.0.1:99999/0"), "objects.store: Port out of range 0-65535"),
        (
            platform_config(agreement={"store": "redis://127.0.0.1:99999/0", "directory": "/none"}),
            "agreement.store: Port out of range 0-65535",
        ),
        (
            platform_config(known={"rev": "x", "targets": []}),
            "known.rev: invalid literal for int() with base 10: 'x'",
        ),
        (platform_config(known={"targets": 1.5}), "known.targets: 'float' object is not iterable"),
        (platform_config(known=[1]), "known: expected an object"),
        (
            platform_config(listen="é..b:7000"),
            "listen: can't listen on é..b:7000: encoding of hostname failed",
        ),
        (
            "[" * 100_000,
            "can't be read as a configuration: RecursionError: maximum recursion depth exceeded while"
            " decoding a JSON array from a unicode string",
        ),
        (platform_config(admin={}), "can't be read as a configuration: KeyError: 'listen'"),
        (
            platform_config(accounts={"volumes": "x"}),
            "can't be read as a configuration: ValueError: invalid literal for int() with base 10: 'x'",
        ),
    ],
)
def test_setting_that_can_not_be_used_is_named(start, raw, line):
    failed = start(raw)
    assert failed.lines == [f"runloft: CONFIG: {line}"]
    assert failed.exit_code == 1


def test_config_path_that_is_a_directory_is_named(start):
    start.path.mkdir()
    failed = start(None)
    assert failed.lines == [f"runloft: CONFIG: [Errno {errno.EISDIR}] Is a directory: 'CONFIG'"]
    assert failed.exit_code == 1


def test_missing_config_file_is_named(start):
    failed = start(None)
    assert failed.lines == [f"runloft: CONFIG: [Errno {errno.ENOENT}] No such file or directory: 'CONFIG'"]
    assert failed.exit_code == 1


@pytest.mark.parametrize(
    "raw, key, package",
    [
        (operator_config(), "objects", "redis"),
        (
            platform_config(agreement={"store": "redis://127.0.0.1:9/0", "directory": "/none"}),
            "agreement",
            "redis",
        ),
        (platform_config(admin={"listen": "127.0.0.1:0"}), "admin", "prometheus_client"),
    ],
)
def test_package_that_a_setting_needs_and_is_missing_is_named(start, raw, key, package):
    code = (
        f"import sys; sys.modules[{package!r}] = None\n"
        "from runloft.cli import main\nsys.exit(main(sys.argv[1:]))"
    )
    failed = start(raw, code=code)
    (line,) = failed.lines
    expected = rf"runloft: CONFIG: {key}: needs the package {package}[\w.]*: pip install -r requirements.txt"
    assert re.fullmatch(expected, line)
    assert failed.exit_code == 1


def test_an_unwritable_folder_of_the_local_snapshot_does_not_end_the_start(tmp_path):
    """The error is logged, and `serve` continues without a snapshot."""
    path = tmp_path / "config.json"
    agreement = {"store": "redis://127.0.0.1:9/0", "directory": "/proc/none"}
    path.write_text(json.dumps(platform_config(agreement=agreement)))
    process = subprocess.Popen(
        [sys.executable, "-m", "runloft", "serve"],
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        next(line for line in process.stderr if "serving" in line)
        process.terminate()
        assert process.wait(15) == 0
    finally:
        process.kill()
        process.stderr.close()


def test_listen_error_carries_key_address_and_errno():
    cause = OSError(errno.EACCES, "Permission denied")
    error = ListenError(ListenAddress("listen", "127.0.0.1", 80), cause)
    assert isinstance(error, RunloftError)
    assert (error.key, error.address.port, error.errno) == ("listen", 80, errno.EACCES)


def test_listen_error_of_a_name_that_does_not_resolve_keeps_the_resolvers_text():
    cause = socket.gaierror(socket.EAI_NONAME, "Name or service not known")
    error = ListenError(ListenAddress("listen", "no.such.invalid", 80), cause)
    text = f"Name or service not known (errno {socket.EAI_NONAME})"
    assert str(error) == f"listen: can't listen on no.such.invalid:80: {text}"


def test_missing_package_error_names_the_setting_that_needs_it():
    with pytest.raises(MissingPackageError) as caught, packages_required_by("admin"):
        raise ModuleNotFoundError("no module", name="prometheus_client")
    assert (caught.value.key, caught.value.package) == ("admin", "prometheus_client")


@pytest.mark.parametrize("make_config", [platform_config, operator_config])
def test_a_memory_limit_below_the_programs_own_size_is_told_with_what_was_measured(start, make_config):
    """Guards against a process that is killed for its memory again and again after each start."""
    failed = start(make_config() | {"limits": {"cores": 1.0, "memory_mb": 10, "sockets": 256}})
    assert failed.exit_code == 1
    (line,) = failed.lines
    found = re.fullmatch(
        r"runloft: CONFIG: limits.memory_mb: the program takes (\S+) MB at its start, the limit is 10 MB; "
        r"at least (\d+) is needed",
        line,
    )
    assert found and 10 < float(found[1]) < int(found[2])


def test_a_memory_limit_that_the_pages_of_files_alone_exceed_is_warned_of(tmp_path):
    """Guards against a refused start where the platform counts these pages once for all processes."""
    raw = platform_config() | {"limits": {"cores": 1.0, "memory_mb": 24, "sockets": 256}}
    program = Program(raw, tmp_path / "config.json")
    try:
        with program.connect() as sock:
            sock.sendall(PING)
            assert sock.recv(99) == PONG
        assert any("memory limit too small" in line and "limit is 24 MB" in line for line in program.log)
    finally:
        program.close()
