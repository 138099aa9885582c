"""The local copy where writes fail, hang, are cut off, and clocks step."""

import os

import pytest

from runloft.config.agreement.content import Content
from runloft.config.agreement.records import Force
from runloft.sharing.copy import CopyError, LocalCopy

ONE = Content({}, {"p": {"Parts": 1.0}}, {}, {})


def in_child(act):
    """Run it in a process of its own; give the signal that ended it, or its exit code."""
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


@pytest.mark.parametrize("part", [0.3, 0.6, 0.9])
def test_a_copy_that_was_cut_off_ends_no_process(tmp_path, part):
    """The embedded store mapped the file: a page that was not there was a SIGBUS, at each start."""
    copy = LocalCopy(str(tmp_path), "s0")
    copy.keep(Force(3, ONE))
    copy.close()

    def read():
        os.truncate(copy.path, int(copy.path.stat().st_size * part))
        with pytest.raises(CopyError):
            LocalCopy(str(tmp_path), "s0").read()

    assert in_child(read) == 0
