"""The control plane: one committed configuration over all sidecars.

Records and their storage: ``records``, ``codec``, ``content``, ``effective``.  State machines without I/O:
``replica`` (a sidecar's), ``rollout`` with ``planning`` and ``ballot``, both by the rules of ``fencing``;
they ask for ``effects``.  I/O: ``store`` (with ``store_protocol``, ``store_reader``, ``store_transactions``),
``local_snapshot`` (with ``snapshot_format``, ``snapshot_writer``).  Run by ``client`` in a sidecar and by
``rollout_driver`` in the command line (``commands``, ``rendering``).
"""
