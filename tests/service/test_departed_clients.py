"""No attempt begins for a client whose close is in its socket, whatever the listener has read of it."""

import pytest

from runloft.config.platform_config import config_from_json
from runloft.core.model import AttemptFinished, NodeListUpdate, NodeUpdate
from runloft.core.reducer import Core
from runloft.decisions.contract import AttemptOutcome, ListKind
from runloft.service.runner import Runner
from tests.support.commands import read_command
from tests.support.driver import MS
from tests.support.listener_harness import OBJECT_REQUEST, ObjectHarness, RespHarness, run_with_listener
from tests.support.standins import config, reset

HARNESSES = [RespHarness, ObjectHarness]
ENDINGS = {"close": lambda sock: sock.close(), "reset": reset}


class RecordingPool:
    """Takes the dispatched attempts, of which none is answered."""

    def __init__(self):
        self.dispatched = []

    def dispatch(self, effect):
        self.dispatched.append(effect.attempt)

    def abandon(self, attempt):
        pass

    def update_nodes(self, nodes):
        pass


class Scene:
    """A listener with a core and a runner, which steps only when the test says so."""

    def __init__(self, harness):
        self.harness = harness
        parsed = config_from_json(config("127.0.0.1:1", []))
        self.core = Core(parsed.settings, 1, harness.now, harness.timers)
        self.runner = Runner(self.core, harness.timers, lambda: harness.now)
        self.pool = RecordingPool()
        self.runner.pools = {"resp": self.pool, "http": self.pool}
        harness.listener.post = self.runner.post
        nodes = tuple(NodeUpdate(f"s-{shard}", f"127.0.0.1:{shard + 1}", shard) for shard in range(2))
        self.runner.post(NodeListUpdate(ListKind.FULL, nodes))
        self.runner.process_events()

    async def post_request(self):
        """Connect, send a request, and stop once it waits for the core; return the client's socket."""
        connected = self.harness.connect()
        sock = connected[0] if isinstance(connected, tuple) else connected
        sock.sendall(OBJECT_REQUEST if isinstance(self.harness, ObjectHarness) else read_command(0))
        await self.harness.wait_until(lambda: self.runner.events)
        return sock

    def step(self, hold_ms):
        self.harness.now += hold_ms * MS
        self.runner.process_events()


@pytest.mark.parametrize("hold_ms", [0, 150])
@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("harness_type", HARNESSES)
def test_no_first_attempt_begins_after_a_close_behind_the_request(harness_type, ending, hold_ms):
    """Guards against a lost request: an attempt that begins over 0.1 s after its client has closed."""

    async def scenario(harness):
        scene = Scene(harness)
        sock = await scene.post_request()
        ENDINGS[ending](sock)
        scene.step(hold_ms)
        assert not scene.pool.dispatched
        scene.runner.process_events()
        scene.runner.process_events()
        assert not scene.core.attempts

    run_with_listener(harness_type, scenario)


@pytest.mark.parametrize("hold_ms", [0, 150])
@pytest.mark.parametrize("ending", ENDINGS)
@pytest.mark.parametrize("harness_type", HARNESSES)
def test_no_further_attempt_begins_after_a_close_behind_the_request(harness_type, ending, hold_ms):
    """Guards against a retry for a client that closed while the node failed."""

    async def scenario(harness):
        scene = Scene(harness)
        sock = await scene.post_request()
        scene.step(0)
        (attempt,) = scene.pool.dispatched
        scene.runner.post(AttemptFinished(attempt, AttemptOutcome.CONNECT_FAILED))
        ENDINGS[ending](sock)
        scene.step(hold_ms)
        for _ in range(5):
            scene.step(20)
        assert scene.pool.dispatched == [attempt]

    run_with_listener(harness_type, scenario)


@pytest.mark.parametrize("harness_type", HARNESSES)
def test_an_attempt_of_a_client_that_stays_begins(harness_type):
    async def scenario(harness):
        scene = Scene(harness)
        sock = await scene.post_request()
        scene.step(150)
        assert len(scene.pool.dispatched) == 1
        sock.close()

    run_with_listener(harness_type, scenario)


def test_all_clients_of_a_step_are_looked_at_in_one_system_call(monkeypatch):
    async def scenario(harness):
        scene = Scene(harness)
        polls = []
        original = Runner.carry_out.__globals__["half_closed"]

        def count_polls(descriptors):
            polls.append(list(descriptors))
            return original(polls[-1])

        monkeypatch.setitem(Runner.carry_out.__globals__, "half_closed", count_polls)
        socks = [harness.connect() for _ in range(5)]
        for sock in socks:
            sock.sendall(read_command(0))
        await harness.wait_until(lambda: len(scene.runner.events) == 5)
        scene.step(0)
        (descriptors,) = polls
        assert len(descriptors) == len(scene.pool.dispatched) > 1
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)
