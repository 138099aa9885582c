"""Reload: a new configuration file is read, checked, and taken over as far as that goes."""

import time
from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

import structlog

from runloft.config.faults import ConfigError
from runloft.config.loading import UnreadableConfigError, load_config
from runloft.config.settings import Config
from runloft.core.model import Event, Reconfigured
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.decisions.contract import ListKind
from runloft.discovery.watch import Watch, listed

log = structlog.get_logger()
READ_TRIES, READ_AGAIN_NS = 30, 100_000_000  # of a file that can't be read: what it says counts 4 s later


class Configured(Protocol):
    """A part whose limits or settings may change while it runs."""

    def configure(self, config: Config) -> None:
        """Go by this configuration from now on."""


class Reload:
    """What is to happen on SIGHUP, as often as it comes."""

    def __init__(
        self,
        path: str | None,
        config: Config,
        watch: Watch,
        post: Callable[[Event], None],
        parts: Iterable[Configured],
        agreed: Callable[[Config], Config] = lambda config: config,
        *,
        deadlines: TimerQueue | None = None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.path, self.config, self.watch, self.post, self.parts = path, config, watch, post, parts
        self.deadlines, self.clock = deadlines, clock  # where a reading that failed is tried again
        self._again: TimerHandle | None = None
        self.agreed = agreed  # puts what is in force over all sidecars in place of what the file says

    def __call__(self) -> None:
        """Read the file again; one that can't be served changes nothing."""
        self._read(READ_TRIES)

    def _read(self, tries: int) -> None:
        """Read it; where it can't be read for a moment, so many more times."""
        if self.deadlines is not None:
            self.deadlines.discard(self._again)
        self._again = None
        if self.path is None:
            log.warning("reload passed over: the configuration came from no file")
            return
        try:
            fresh = load_config(self.path)
        except UnreadableConfigError as error:
            log.warning("reload waits: the file can't be read", faults=error.faults, tries_left=tries)
            if tries and self.deadlines is not None:
                again = partial(self._read, tries - 1)
                self._again = self.deadlines.add(self.clock() + READ_AGAIN_NS, again)
            return
        except ConfigError as error:
            log.error("reload failed, the old configuration stands", codes=error.codes, faults=error.faults)
            return
        except Exception:  # guards the program: no file is worth its end
            log.exception("reload failed, the old configuration stands")
            return
        self.take(self.agreed(fresh))
        log.info("reloaded", discovery="{}:{}".format(*self.config.discovery), rev=self.watch.rev)

    def take(self, fresh: Config) -> None:
        """Go by this configuration, as far as a running program can."""
        fresh, waiting = changeable(self.config, fresh)
        if waiting:
            log.warning("some changes need a restart", keys=waiting)
        self.watch.zones = fresh.zones
        self.watch.move(fresh.discovery)
        rev = fresh.initial_node_list.get("rev")
        if isinstance(rev, int) and rev > self.watch.rev:  # the file knows more than the watch has told
            self.watch.rev = rev
            self.post(listed(fresh.initial_node_list, fresh.zones, ListKind.FULL))
        old = self.config
        if (fresh.settings, fresh.bounds, fresh.suspended_volumes) != (
            old.settings,
            old.bounds,
            old.suspended_volumes,
        ):
            self.post(Reconfigured(fresh.settings, fresh.bounds, fresh.suspended_volumes))
        for part in self.parts:
            part.configure(fresh)
        self.config = fresh


def changeable(old: Config, new: Config) -> tuple[Config, list[str]]:
    """Give the new configuration less what can't change in a running program, and the keys of that."""
    kept: dict[str, Any] = {}
    waiting = []
    for key in ("name", "listen"):
        if getattr(old, key) != getattr(new, key):
            kept[key] = getattr(old, key)
            waiting.append(key)
    # Open requests and learned state go by the numbers of classes and plans: more may come, none may move.
    known = len(old.class_names), len(old.plan_names)
    if (new.class_names[: known[0]], new.plan_names[: known[1]]) != (old.class_names, old.plan_names):
        kept |= {"settings": old.settings, "class_names": old.class_names, "plan_names": old.plan_names}
        kept["objects"] = old.objects
        waiting.append("settings")
    elif (old.objects is None) != (new.objects is None):
        kept["objects"] = old.objects
        waiting.append("objects")
    elif old.objects and new.objects:
        fixed = {
            key: getattr(old.objects, key)
            for key in ("listen", "store")
            if getattr(old.objects, key) != getattr(new.objects, key)
        }
        kept["objects"] = replace(new.objects, **fixed)
        waiting += [f"objects.{key}" for key in fixed]
    return replace(new, **kept), waiting
