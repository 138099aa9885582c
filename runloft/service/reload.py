"""Reload: a new configuration is read, checked, and applied as far as a running scheduler can."""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import structlog

from runloft.config.faults import ConfigError
from runloft.config.settings import Config, UnreadableConfigError, load_config
from runloft.core.model import Event, Reconfigured
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.decisions.contract import ListKind
from runloft.discovery.node_list import node_list_update
from runloft.discovery.watch import Watch
from runloft.service.interfaces import Configurable

log = structlog.get_logger()
READ_RETRIES = 30  # of a file that can't be read: what it says counts 4 s later
READ_RETRY_NS = 100_000_000
FIXED_KEYS = ("name", "listen")
FIXED_OBJECT_KEYS = ("listen", "store")


def without_agreement(config: Config) -> Config:
    """Return the configuration unchanged: no agreement replaces what the file says."""
    return config


class Reload:
    """Reads the configuration file again on each call, and applies configurations."""

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
        self.apply_agreement = apply_agreement  # puts what all sidecars agreed on in place of the file's
        self.timers = timers  # for retries of a read that failed; without it there are none
        self.clock = clock
        self._retry_timer: TimerHandle | None = None

    def __call__(self) -> None:
        """Read the file again; one that is at fault changes nothing."""
        self._read(READ_RETRIES)

    def _read(self, retries: int) -> None:
        """Read and apply the file; one that can't be read for a moment is read again later."""
        if self.timers is not None:
            self.timers.discard(self._retry_timer)
        self._retry_timer = None
        if self.path is None:
            log.warning("reload ignored: the configuration came from no file")
            return
        try:
            config = load_config(self.path)
        except UnreadableConfigError as error:
            log.warning("reload postponed: the file can't be read", faults=error.faults, retries_left=retries)
            self._retry_later(retries)
            return
        except ConfigError as error:
            log.error("reload failed, the old configuration stands", codes=error.codes, faults=error.faults)
            return
        except Exception:  # no file may end a scheduler that serves
            log.exception("reload failed, the old configuration stands")
            return
        self.apply(self.apply_agreement(config))
        log.info("reloaded", discovery="{}:{}".format(*self.config.discovery), rev=self.watch.rev)

    def _retry_later(self, retries: int) -> None:
        if retries and self.timers is not None:
            retry = partial(self._read, retries - 1)
            self._retry_timer = self.timers.add(self.clock() + READ_RETRY_NS, retry)

    def apply(self, requested: Config) -> None:
        """Apply a configuration, except for the keys that only a restart can change."""
        change = applicable_change(self.config, requested)
        if change.needs_restart:
            log.warning("some changes need a restart", keys=change.needs_restart)
        config = change.config
        self._update_watch(config)
        old = self.config
        if (config.settings, config.bounds, config.held) != (old.settings, old.bounds, old.held):
            self.post(Reconfigured(config.settings, config.bounds, config.held))
        for component in self.components:
            component.configure(config)
        self.config = config

    def _update_watch(self, config: Config) -> None:
        self.watch.zones = config.zones
        self.watch.move(config.discovery)
        rev = config.known.get("rev")
        if isinstance(rev, int) and rev > self.watch.rev:  # the file is newer than what the watch has sent
            self.watch.rev = rev
            self.post(node_list_update(ListKind.FULL, config.known.get("targets"), config.zones))


@dataclass(frozen=True, slots=True)
class ApplicableChange:
    """What a running scheduler can apply of a configuration, and the keys that have to wait for a restart."""

    config: Config
    needs_restart: list[str]


def applicable_change(old: Config, new: Config) -> ApplicableChange:
    """Return the new configuration with the old values of what can't change in a running scheduler."""
    unchanged: dict[str, Any] = {}
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
    """Return whether all classes and plans keep their numbers, by which requests and learned state go."""
    class_names = new.class_names[: len(old.class_names)]
    plan_names = new.plan_names[: len(old.plan_names)]
    return (class_names, plan_names) == (old.class_names, old.plan_names)
