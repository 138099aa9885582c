"""Reload: reads and checks the configuration file again and applies what a running scheduler can change."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import structlog

from runloft.config.faults import ConfigError
from runloft.config.loading import UnreadableConfigError, load_config
from runloft.config.settings import Config
from runloft.core.model import Event, Reconfigured
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.decisions.contract import ListKind
from runloft.discovery.node_list import node_list_update
from runloft.discovery.watch import Watch
from runloft.service.interfaces import Configurable

log = structlog.get_logger()
READ_RETRIES = 30  # 3 s in total: a changed file must take effect within 4 s
READ_RETRY_NS = 100_000_000
FIXED_KEYS = ("name", "listen")
FIXED_OBJECT_KEYS = ("listen", "store")


def without_agreement(config: Config) -> Config:
    """Return the configuration unchanged: without an agreement the file's values apply."""
    return config


class Reload:
    """Applies configurations to a running scheduler; calling it reads the configuration file again."""

    def __init__(
        self,
        path: str | None,
        config: Config,
        watch: Watch,
        post: Callable[[Event], None],
        components: Iterable[Configurable],
        apply_agreement: Callable[[Config], Config] = without_agreement,
        *,
        timers: TimerQueue | None = None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.path = path
        self.config = config
        self.watch = watch
        self.post = post
        self.components = components
        self.apply_agreement = apply_agreement  # replaces the file's values with those agreed on
        self.timers = timers  # for retries of failed reads; None: no retries
        self.clock = clock
        self._retry_timer: TimerHandle | None = None

    def __call__(self) -> None:
        """Read the file again and apply it; an invalid file changes nothing."""
        self._read(READ_RETRIES)

    def _read(self, retries: int) -> None:
        """Read and apply the file; schedule a retry if a temporary error prevents reading it."""
        if self.timers is not None:
            self.timers.discard(self._retry_timer)
        self._retry_timer = None
        if self.path is None:
            log.warning("reload ignored: the configuration was not loaded from a file")
            return
        try:
            config = load_config(self.path)
        except UnreadableConfigError as error:
            log.warning(
                "reload postponed: the configuration file can't be read",
                faults=error.faults,
                retries_left=retries,
            )
            self._retry_later(retries)
            return
        except ConfigError as error:
            log.error(
                "reload failed, the old configuration stays in use", codes=error.codes, faults=error.faults
            )
            return
        except Exception:  # an unexpected error must not end a running scheduler
            log.exception("reload failed, the old configuration stays in use")
            return
        self.apply(self.apply_agreement(config))
        log.info("reloaded", discovery="{}:{}".format(*self.config.discovery), rev=self.watch.rev)

    def _retry_later(self, retries: int) -> None:
        if retries and self.timers is not None:
            retry = partial(self._read, retries - 1)
            self._retry_timer = self.timers.add(self.clock() + READ_RETRY_NS, retry)

    def apply(self, requested: Config) -> None:
        """Apply a configuration, except for settings that only a restart can change."""
        change = applicable_change(self.config, requested)
        if change.needs_restart:
            log.warning("changed settings not applied: restart required", keys=change.needs_restart)
        config = change.config
        self._update_watch(config)
        old = self.config
        if (config.settings, config.bounds, config.suspended_volumes) != (
            old.settings,
            old.bounds,
            old.suspended_volumes,
        ):
            self.post(Reconfigured(config.settings, config.bounds, config.suspended_volumes))
        for component in self.components:
            component.configure(config)
        self.config = config

    def _update_watch(self, config: Config) -> None:
        self.watch.zones = config.zones
        self.watch.move(config.discovery)
        rev = config.initial_node_list.get("rev")
        if isinstance(rev, int) and rev > self.watch.rev:  # the file's node list is newer than the watch's
            self.watch.rev = rev
            self.post(node_list_update(ListKind.FULL, config.initial_node_list.get("targets"), config.zones))


@dataclass(frozen=True, slots=True)
class ApplicableChange:
    """The configuration that a running scheduler can apply, and the changed keys that require a restart."""

    config: Config
    needs_restart: list[str]


def applicable_change(old: Config, new: Config) -> ApplicableChange:
    """Return the new configuration, with the old values of settings that a running scheduler can't change."""
    unchanged: dict[str, Any] = {"program_bytes": old.program_bytes}
    needs_restart = []
    for key in FIXED_KEYS:
        if getattr(old, key) != getattr(new, key):
            unchanged[key] = getattr(old, key)
            needs_restart.append(key)
    if not _extends_names(old, new):
        unchanged |= {
            "settings": old.settings,
            "class_names": old.class_names,
            "plan_names": old.plan_names,
            "objects": old.objects,
        }
        needs_restart.append("settings")
    elif (old.objects is None) != (new.objects is None):
        unchanged["objects"] = old.objects
        needs_restart.append("objects")
    elif old.objects and new.objects:
        fixed = {
            key: getattr(old.objects, key)
            for key in FIXED_OBJECT_KEYS
            if getattr(old.objects, key) != getattr(new.objects, key)
        }
        unchanged["objects"] = replace(new.objects, **fixed)
        needs_restart += [f"objects.{key}" for key in fixed]
    return ApplicableChange(replace(new, **unchanged), needs_restart)


def _extends_names(old: Config, new: Config) -> bool:
    """Return whether all classes and plans keep the numbers that open requests and learned state refer to."""
    class_names = new.class_names[: len(old.class_names)]
    plan_names = new.plan_names[: len(old.plan_names)]
    return (class_names, plan_names) == (old.class_names, old.plan_names)
