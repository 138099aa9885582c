"""Failing system calls and processes that may be killed, for tests of what is kept on disk."""

import errno
import os


def run_in_child(act):
    """Run it in a process of its own; return its exit code, or minus the signal that killed it."""
    pid = os.fork()
    if not pid:
        code = 1
        try:
            act()
            code = 0
        finally:
            os._exit(code)
    status = os.waitpid(pid, 0)[1]
    return -os.WTERMSIG(status) if os.WIFSIGNALED(status) else os.WEXITSTATUS(status)


def fail_system_call(monkeypatch, name, times, number=errno.ENOSPC):
    """Let a system call fail so many times; return the list of its failed calls."""
    failures = []
    real = getattr(os, name)

    def call(*arguments):
        if len(failures) < times:
            failures.append(arguments)
            raise OSError(number, os.strerror(number))
        return real(*arguments)

    monkeypatch.setattr(os, name, call)
    return failures
