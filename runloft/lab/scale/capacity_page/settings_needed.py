"""The settings that one scheduler requires at a size, and the effect of the fixed timeouts on its clients."""

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
PRESSURE_IDLE_TIMEOUT_S = PRESSURE_IDLE_TIMEOUT_NS / NS_PER_S
DEFAULT_LEASE_S = AgreementSettings("", "").lease_ns / NS_PER_S
# Duration in leases of a configuration change while one scheduler doesn't renew its lease.
LEASES_PER_CHANGE = DEFAULT_FENCE_LEASES * FENCE_WITH_DRIFT + LEASES_AFTER_FENCE


@dataclass(frozen=True, slots=True)
class Requirement:
    """A limit on a setting's value, or a figure that follows from settings and sizes."""

    title: str
    value: float
    reason: str
    source: Source = Source.COMPUTED
    budget: BudgetName | None = None  # that the value must not exceed


def settings_needed(sizes: Sizes) -> tuple[Requirement, ...]:
    """Return the required settings at a size, in the page's order."""
    return (
        *_socket_requirements(sizes),
        *_idle_requirements(sizes),
        _memory_requirement(sizes),
        *_lease_requirements(),
    )


def _socket_requirements(sizes: Sizes) -> tuple[Requirement, ...]:
    return (
        Requirement(
            "limits.sockets: minimum for these clients",
            ceil(sizes.clients / CLIENT_FRACTION),
            f"{LISTENER_FILES}: at most {CLIENT_FRACTION:.3g} of them are clients",
        ),
        Requirement(
            "limits.sockets: no client is evicted",
            ceil(sizes.clients / PRESSURE_FRACTION),
            f"{LISTENER_FILES}: above {PRESSURE_FRACTION:.3g} of them idle connections are evicted",
        ),
        Requirement(
            f"limits.sockets: full idle timeout of {IDLE_TIMEOUT_S:g} s for all clients",
            ceil(2 * sizes.clients / PRESSURE_FRACTION),
            f"{LISTENER_FILES}: above {PRESSURE_FRACTION / 2:.3g} of them "
            f"the idle timeout is {PRESSURE_IDLE_TIMEOUT_S:g} s",
        ),
        Requirement(
            "limits.sockets: one connection to each node",
            2 * sizes.nodes + RESERVED_DESCRIPTORS,
            f"{POOL_LIMIT_FILE}: half of them, less {RESERVED_DESCRIPTORS / 2:g}, are for node connections",
        ),
    )


def _idle_requirements(sizes: Sizes) -> tuple[Requirement, ...]:
    mean_idle_s = sizes.clients / sizes.statements
    return (
        Requirement("a client's mean idle time between statements, s", mean_idle_s, "clients / statements"),
        Requirement(
            f"clients closed per second by the idle timeout of {IDLE_TIMEOUT_S:g} s",
            sizes.statements * exp(-IDLE_TIMEOUT_S / mean_idle_s),
            "if statements arrive as a Poisson process",
            Source.ASSUMED,
        ),
        Requirement(
            f"clients closed per second by the idle timeout of {PRESSURE_IDLE_TIMEOUT_S:g} s",
            sizes.statements * exp(-PRESSURE_IDLE_TIMEOUT_S / mean_idle_s),
            "as above, with more clients than a sixth of limits.sockets",
            Source.ASSUMED,
        ),
        Requirement(
            "a node connection's mean idle time, s",
            sizes.nodes / sizes.statements,
            f"nodes / statements; idle ones are closed after {IDLE_TIMEOUT_FRACTION:g} of ConnIdle",
        ),
    )


def _memory_requirement(sizes: Sizes) -> Requirement:
    return Requirement(
        "limits.memory_mb: the program and its clients",
        BASE_MEMORY_WITH_TOOLS_MB + sizes.clients * CLIENT_MEMORY_KB / KB_PER_MB,
        f"{MACHINE_CHECKS_FILE}: {CLIENT_MEMORY_KB:g} KiB per client, "
        f"{BASE_MEMORY_WITH_TOOLS_MB:g} MB without clients",
        budget=BudgetName.MEMORY,
    )


def _lease_requirements() -> tuple[Requirement, ...]:
    return (
        Requirement(
            "agreement.lease_ms: maximum with the default fence",
            MAX_CHANGE_MS / LEASES_PER_CHANGE,
            f"{AGREEMENT_CHECKS_FILE}: {MAX_CHANGE_MS / MS_PER_S:g} s for a change "
            "while one scheduler doesn't renew its lease",
        ),
        Requirement(
            f"duration of a change with a lease of {DEFAULT_LEASE_S:g} s and one unreachable scheduler, s",
            DEFAULT_LEASE_S * LEASES_PER_CHANGE,
            "the fence plus a sixteenth, a lease until the change takes effect, and one poll",
        ),
    )
