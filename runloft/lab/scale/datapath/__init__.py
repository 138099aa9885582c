"""The data path of one real scheduler by size: what it spends on clients, statements and nodes.

The program runs as the platform starts it; nodes, discovery, store and clients are stand-ins in processes of
their own, so that nothing but the scheduler's work is counted for it.
``python -m runloft.lab.scale.datapath`` runs one stand-in, or measures the committed document.
"""
