"""Measure what one real scheduler uses on its data path, by number of clients, statements and nodes.

The scheduler is started as the platform starts it.  Nodes, discovery, store and clients are stand-ins in
separate processes, so that the resources of the scheduler's process are its own.
``python -m runloft.lab.scale.datapath`` runs one stand-in, or measures the sizes of the committed document.
"""
