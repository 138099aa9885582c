"""The epochs of the store, as a sidecar sees them: a new one is trusted once old leases have expired."""

from runloft.agreement.effects import CloseEpoch, OpenEpoch
from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.records import StoreView


class TrustedEpoch:
    """The epoch of the store whose answers renew a sidecar's lease; ``number`` 0: none as yet."""

    def __init__(self, fence_ns: int) -> None:
        self.number = 0
        self._fence_ns = fence_ns
        self._tracker = StalenessTracker()

    def update(self, view: StoreView, highest_seen: int, now: int) -> list[OpenEpoch | CloseEpoch]:
        """Take the epoch of a view; ``highest_seen`` is the one of the highest generation seen.

        Return what is to be written: a new epoch where the store has none or too low a one, and that the
        previous one is closed when this one has been observed for longer than any fence.
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
