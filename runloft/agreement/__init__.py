"""The control plane: one committed configuration for all sidecars.

Records and their encoding: ``records``, ``codec``, ``content``, ``effective``.  State machines without I/O:
``replica`` (a sidecar, with ``epoch``, ``heartbeat`` and ``voter``) and ``rollout`` (with ``planning`` and
``ballot``); both follow the rules of ``fencing`` and return ``effects``.  I/O: ``store`` (with
``store_protocol``, ``store_reader``, ``store_transactions``) and ``local_snapshot`` (with
``snapshot_format``, ``snapshot_writer``).  They are run by ``client`` in a sidecar and by
``rollout_driver`` in the command line (``commands``, ``rendering``).
"""
