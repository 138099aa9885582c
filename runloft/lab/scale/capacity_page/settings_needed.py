"""What one scheduler's settings have to be at a size, and what the fixed times do to its clients."""

from dataclasses import dataclass
from math import ceil, exp

from runloft.config.operator.agreement_checks import FENCE_WITH_DRIFT, LEASES_AFTER_FENCE, MAX_CHANGE_MS
from runloft.config.operator.machine_checks import BASE_MEMORY_WITH_TOOLS_MB, CLIENT_MEMORY_KB
from runloft.config.settings import DEFAULT_FENCE_LEASES, AgreementSettings
from runloft.lab.scale.capacity_page.budgets import BudgetName
from runloft.lab.scale.capacity_page.mechanisms import (
    AGREEMENT_CHECKS_FILE,
    LISTENER_FILES,
    MACHINE_CHECKS_FILE,
    POOL_LIMIT_FILE,
)
from runloft.lab.scale.capacity_page.sources import Source
from runloft.lab.scale.records import Sizes
from runloft.listeners.accepting import CLIENT_FRACTION, PRESSURE_FRACTION
from runloft.listeners.resp.limits import IDLE_TIMEOUT_NS, PRESSURE_IDLE_TIMEOUT_NS
from runloft.upstream.pool import IDLE_TIMEOUT_FRACTION, RESERVED_DESCRIPTORS

NS_PER_S = 1e9
MS_PER_S = 1e3
KB_PER_MB = 1024
IDLE_TIMEOUT_S = IDLE_TIMEOUT_NS / NS_PER_S
CROWDED_IDLE_TIMEOUT_S = PRESSURE_IDLE_TIMEOUT_NS / NS_PER_S
DEFAULT_LEASE_S = AgreementSettings("", "").lease_ns / NS_PER_S
LEASES_PER_CHANGE = (
    DEFAULT_FENCE_LEASES * FENCE_WITH_DRIFT + LEASES_AFTER_FENCE
)  # of a change while one scheduler is silent


@dataclass(frozen=True, slots=True)
class Need:
    """What a setting has to be at least, or what follows from one."""

    title: str
    value: float
    reason: str
    source: Source = Source.COMPUTED
    budget: BudgetName | None = None  # that it may not exceed


def settings_needed(sizes: Sizes) -> tuple[Need, ...]:
    """Return what the settings have to be at this size, in the page's order."""
    return (*_socket_needs(sizes), *_idle_needs(sizes), _memory_need(sizes), *_lease_needs())


def _socket_needs(sizes: Sizes) -> tuple[Need, ...]:
    return (
        Need(
            "limits.sockets: clients are kept at all",
            ceil(sizes.clients / CLIENT_FRACTION),
            f"{LISTENER_FILES}: at most {CLIENT_FRACTION:.3g} of them are clients",
        ),
        Need(
            "limits.sockets: none is closed to make room",
            ceil(sizes.clients / PRESSURE_FRACTION),
            f"{LISTENER_FILES}: from {PRESSURE_FRACTION:.3g} of them on the least useful are closed",
        ),
        Need(
            f"limits.sockets: all may rest {IDLE_TIMEOUT_S:g} s",
            ceil(2 * sizes.clients / PRESSURE_FRACTION),
            f"{LISTENER_FILES}: beyond {PRESSURE_FRACTION / 2:.3g} of them "
            f"a rest ends after {CROWDED_IDLE_TIMEOUT_S:g} s",
        ),
        Need(
            "limits.sockets: one connection to each node",
            2 * sizes.nodes + RESERVED_DESCRIPTORS,
            f"{POOL_LIMIT_FILE}: half of them less {RESERVED_DESCRIPTORS / 2:g} go to nodes",
        ),
    )


def _idle_needs(sizes: Sizes) -> tuple[Need, ...]:
    mean_idle_s = sizes.clients / sizes.statements
    return (
        Need("a client's mean rest between two statements, s", mean_idle_s, "clients / statements"),
        Need(
            f"idle clients closed a second, {IDLE_TIMEOUT_S:g} s each",
            sizes.statements * exp(-IDLE_TIMEOUT_S / mean_idle_s),
            "where statements come as a Poisson process",
            Source.ASSUMED,
        ),
        Need(
            f"idle clients closed a second, {CROWDED_IDLE_TIMEOUT_S:g} s each",
            sizes.statements * exp(-CROWDED_IDLE_TIMEOUT_S / mean_idle_s),
            "the same, beyond a sixth of limits.sockets",
            Source.ASSUMED,
        ),
        Need(
            "a node connection's mean rest, s",
            sizes.nodes / sizes.statements,
            f"nodes / statements; idle ones are closed after {IDLE_TIMEOUT_FRACTION:g} of ConnIdle",
        ),
    )


def _memory_need(sizes: Sizes) -> Need:
    return Need(
        "limits.memory_mb: the program and its clients",
        BASE_MEMORY_WITH_TOOLS_MB + sizes.clients * CLIENT_MEMORY_KB / KB_PER_MB,
        f"{MACHINE_CHECKS_FILE}: {CLIENT_MEMORY_KB:g} KiB a client, "
        f"{BASE_MEMORY_WITH_TOOLS_MB:g} MB without any",
        budget=BudgetName.MEMORY,
    )


def _lease_needs() -> tuple[Need, ...]:
    return (
        Need(
            "agreement.lease_ms: at most, with the fence that follows",
            MAX_CHANGE_MS / LEASES_PER_CHANGE,
            f"{AGREEMENT_CHECKS_FILE}: {MAX_CHANGE_MS / MS_PER_S:g} s for a change while one is silent",
        ),
        Need(
            f"a change with a lease of {DEFAULT_LEASE_S:g} s, one silent, s",
            DEFAULT_LEASE_S * LEASES_PER_CHANGE,
            "its fence and a sixteenth, a lease to the moment, a look",
        ),
    )
