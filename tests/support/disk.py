"""Failing system calls and child processes that may be killed, for tests of files on disk."""

import errno
import os


def run_in_child(function):
    """Run a function in a child process; return its exit code, or the negated signal that killed it."""
    pid = os.fork()
    if not pid:
        code = 1
        try:
            function()
            code = 0
        finally:
            os._exit(code)
    status = os.waitpid(pid, 0)[1]
    return -os.WTERMSIG(status) if os.WIFSIGNALED(status) else os.WEXITSTATUS(status)


def fail_system_call(monkeypatch, name, times, error_number=errno.ENOSPC):
    """Make the first ``times`` calls of an ``os`` function fail; return the growing list of failed calls."""
    failures = []
    real = getattr(os, name)

    def call(*arguments):
        if len(failures) < times:
            failures.append(arguments)
            raise OSError(error_number, os.strerror(error_number))
        return real(*arguments)

    monkeypatch.setattr(os, name, call)
    return failures
