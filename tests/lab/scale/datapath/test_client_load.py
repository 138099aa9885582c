"""The stand-in for clients."""

import json
import subprocess
import sys
from contextlib import contextmanager

from tests.support.standins import Listener, read_words


@contextmanager
def stand_in(role):
    command = [sys.executable, "-m", "runloft.lab.scale.datapath", role]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def ask(**order):
        process.stdin.write(json.dumps(order) + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    yield ask
    process.stdin.close()
    process.stdout.close()
    assert process.wait(10) == 0  # it exits when its input is closed


class ClosingScheduler(Listener):
    """Closes each connection after a PING, and the one that brings the first statement, unanswered."""

    has_closed_on_statement = False

    def serve(self, conn, lines):
        while words := read_words(lines):
            if words[0] == b"PING":
                conn.sendall(b"+PONG\r\n")
                return
            if not self.has_closed_on_statement:
                self.has_closed_on_statement = True
                return
            conn.sendall(b"$3\r\nabc\r\n" if int(words[2], 16) % 2 else b"-BUSY 5\r\n")


def test_closed_connections_are_counted_and_reopened_for_their_statement():
    order = {"seed": 1, "round_robin": True, "shards": 1, "hosts": 1, "volumes": 1}
    server = ClosingScheduler()
    with stand_in("clients") as ask:
        ask(do="come", address=server.address, connections=5, **order)
        while ask(do="count")["open"]:
            pass
        assert ask(do="count")["closes"] == 5
        ask(do="mark")
        ask(do="load", rate=500.0)
        while ask(do="count")["sent"] < 25:
            pass
        result = ask(do="finish")
    server.close()
    assert result["sent"] >= 25 and result["served"] and result["refused"]
    # The statement whose connection was closed was resent.
    assert result["served"] + result["refused"] == result["sent"]
    assert (result["closes"], result["connects"], result["open"]) == (1, 6, 5)
