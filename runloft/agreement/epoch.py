"""The store's epochs as a sidecar sees them: a new one is trusted once all earlier leases have expired."""

from runloft.agreement.effects import CloseEpoch, OpenEpoch
from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.records import StoreView


class TrustedEpoch:
    """The epoch in which the store's answers renew a sidecar's lease; ``number`` is 0 if there is none."""

    def __init__(self, fence_ns: int) -> None:
        self.number = 0
        self._fence_ns = fence_ns
        self._tracker = StalenessTracker()

    def update(self, view: StoreView, highest_seen: int, now: int) -> list[OpenEpoch | CloseEpoch]:
        """Record the epoch of a view; ``highest_seen`` is the epoch of the highest generation seen.

        Return the writes to make: ``OpenEpoch`` if the store has no epoch or one below ``highest_seen``,
        ``CloseEpoch`` for the previous epoch once this one has been observed for longer than any fence.
        """
        if not view.epoch or view.epoch < highest_seen:
            return [OpenEpoch(max(view.now_ns, highest_seen, self.number) + 1, view.epoch)]
        observed_ns = self._tracker.observe(view.epoch, now)
        if view.previous_epoch_closed:
            self.number = view.epoch
        elif observed_ns >= fence_expiry_ns(self._fence_ns):
            self.number = view.epoch
            return [CloseEpoch(view.epoch)]
        return []
