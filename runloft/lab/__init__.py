"""The laboratory: scenarios, load and reports, run on loopback against stand-ins.

The stand-ins are written from public specifications.
"""
