"""Invariants of the agreement under any order of faults, restarts, clock steps and rollouts."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from tests.support.agreement import CONTENTS, LEASE, TICK, SimulatedFleet, SimulatedOperator

AFTER = st.integers(0, 3 * LEASE // TICK)
FAULTS = st.tuples(
    st.sampled_from(
        [
            "down",
            "no replies",
            "lossy",
            "up",
            "kill sidecar",
            "empty store",
            "kill rollout",
            "second rollout",
            "restart",
            "clock back",
            "clock forward",
        ]
    ),
    st.integers(0, 2),
)


class AnyOrderOfEvents(RuleBasedStateMachine):
    """Events in any order, each followed by some time."""

    def __init__(self):
        super().__init__()
        self.fleet = SimulatedFleet()
        self.fleet.advance(4 * LEASE // TICK)
        self.count = 0

    @rule(index=st.integers(0, 2), link=st.sampled_from(["up", "down", "no replies", "lossy"]), after=AFTER)
    def a_link_changes(self, index, link, after):
        self.fleet.sidecars[index].link = link
        self.fleet.advance(after)

    @rule(after=AFTER)
    def all_links_are_up(self, after):
        for sidecar in self.fleet.sidecars:
            sidecar.link = "up"
        self.fleet.advance(after)

    @rule(index=st.integers(0, 2), down=AFTER, keeps_snapshot=st.booleans(), after=AFTER)
    def a_sidecar_restarts(self, index, down, keeps_snapshot, after):
        sidecar = self.fleet.sidecars[index]
        sidecar.alive = False
        self.fleet.advance(down)
        sidecar.snapshot = sidecar.snapshot if keeps_snapshot else None
        sidecar.start(self.fleet.now)
        self.fleet.advance(after)

    @rule(after=AFTER)
    def the_store_starts_empty(self, after):
        self.fleet.store.empty()
        self.fleet.advance(after)

    @rule(by=st.sampled_from([-3 * LEASE + 7, -LEASE // 2, LEASE // 2, 3 * LEASE]), after=AFTER)
    def the_stores_clock_steps(self, by, after):
        self.fleet.store.clock += by
        self.fleet.advance(after)

    @rule(
        new_content=st.sampled_from(CONTENTS),
        link=st.sampled_from(["up", "lossy"]),
        faults=st.lists(st.tuples(st.integers(0, 40), FAULTS), max_size=3),
        after=AFTER,
    )
    def a_rollout_starts(self, new_content, link, faults, after):
        """Start a rollout, with faults during its steps."""
        self.count += 1
        operator = SimulatedOperator(f"t{self.count}", new_content, self.fleet.now)
        operator.link = link
        self.fleet.operators.append(operator)
        for ticks, (fault, index) in faults:
            self.fleet.advance(ticks)
            sidecar = self.fleet.sidecars[index]
            match fault:
                case "empty store":
                    self.fleet.store.empty()
                case "kill rollout":
                    self.fleet.operators.clear()
                case "second rollout":
                    self.fleet.operators.append(
                        SimulatedOperator(f"u{self.count}", CONTENTS[index], self.fleet.now)
                    )
                case "kill sidecar":
                    sidecar.alive = False
                case "restart":
                    sidecar.start(self.fleet.now)
                case "clock back" | "clock forward":
                    self.fleet.store.clock += 3 * LEASE * (1 if fault == "clock forward" else -1)
                case _:
                    sidecar.link = fault
        self.fleet.advance(after)

    @rule(
        isolated=st.sets(st.integers(0, 2), max_size=2),
        new_content=st.sampled_from(CONTENTS),
        duration=AFTER,
        after=AFTER,
    )
    def a_network_partition_heals_during_a_rollout(self, isolated, new_content, duration, after):
        for index in isolated:
            self.fleet.sidecars[index].link = "down"
        self.count += 1
        self.fleet.operators.append(SimulatedOperator(f"r{self.count}", new_content, self.fleet.now))
        self.fleet.advance(duration)
        for index in isolated:
            self.fleet.sidecars[index].link = "up"
        self.fleet.advance(after)

    @rule(after=AFTER)
    def all_rollouts_are_killed(self, after):
        self.fleet.operators.clear()
        self.fleet.advance(after)

    def teardown(self):
        self.fleet.recover()


AnyOrderOfEvents.TestCase.settings = settings(
    max_examples=50, stateful_step_count=12, deadline=None, suppress_health_check=list(HealthCheck)
)


TestAnyOrderOfEvents = AnyOrderOfEvents.TestCase
