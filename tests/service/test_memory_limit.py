"""The process's memory while hundreds of clients make it hold as much as they can."""

import asyncio

import pytest

from runloft.lab.crowd.forms import CrowdForm
from runloft.lab.crowd.run import CrowdPlay, run_play
from tests.support.commands import REQUEST_IDS, resp_array, write_command
from tests.support.standins import Discovery, Program, RespNode, config, entry

CLIENTS = 240
MEMORY_MB = 64
VALUE_BYTES = 64 << 10
DEADLINE_MS = 500
LEAST_MEMORY_MB = 32  # of the sizes that the program is made for
CROWD_FORMS = (CrowdForm.CONNECT, CrowdForm.BYTES, CrowdForm.HALF_WRITE, CrowdForm.READS)


def large_write():
    return write_command(VALUE_BYTES, b"%016x" % next(REQUEST_IDS), DEADLINE_MS)


def many_large_writes():
    """Ten writes of the maximum size at once, which the core can't all hold."""
    return b"".join(large_write() for _ in range(10))


def echoes_behind_a_request():
    """A request that is not answered for a while, and commands whose responses have to wait for it."""
    return large_write() + resp_array(b"PING", b"e" * VALUE_BYTES) * 10


RESP_INPUTS = {
    "many large writes": many_large_writes,
    "echoes behind a request": echoes_behind_a_request,
}


@pytest.fixture
def program(tmp_path):
    """A process in front of a node that never answers."""
    discovery, node = Discovery(), RespNode()
    node.lock.acquire()
    raw = config(discovery.address, [entry(node.address)])
    raw["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024}
    program = Program(raw, tmp_path / "config.json")
    yield program
    program.close()
    node.close()
    discovery.close()


async def send_and_receive(port, data):
    """Send without waiting, then read to the end of the stream or until nothing comes any more."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(data)
        await asyncio.wait_for(writer.drain(), 5)
        while await asyncio.wait_for(reader.read(1 << 16), 2 * DEADLINE_MS / 1000):
            pass
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


async def send_from_all(port, make_input):
    await asyncio.gather(*(send_and_receive(port, make_input()) for _ in range(CLIENTS)))


def peak_mb(program):
    """Return the largest resident size that the process has had, in MB."""
    with open(f"/proc/{program.process.pid}/status") as status:
        (line,) = (line for line in status if line.startswith("VmHWM:"))
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize("name", RESP_INPUTS)
def test_hundreds_of_clients_do_not_exceed_the_memory_limit(program, name):
    """Prevents the platform from ending the process for its memory: each input did that once."""
    asyncio.run(send_from_all(program.ports["RespListener"], RESP_INPUTS[name]))
    assert program.process.poll() is None
    assert peak_mb(program) <= MEMORY_MB


@pytest.mark.parametrize("form", CROWD_FORMS)
def test_a_crowd_does_not_take_the_process_over_the_least_memory_limit(form):
    """Guards against kills for memory with many clients, 32 MB and 1,024 descriptors."""
    result = run_play(CrowdPlay(form, clients=600, memory_mb=LEAST_MEMORY_MB, descriptors=1024, seconds=2.5))
    assert result.peak_mb <= LEAST_MEMORY_MB
    assert result.crowd.silent == 0
    assert (result.exit_code, result.violations) == (0, "{}")
