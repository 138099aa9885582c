"""The object API's listener: a subset of S3 over HTTP, served by the same core as RESP2.

A connection carries one request at a time. A request is translated into a ``RequestSpec``; its response is
streamed to the client as it arrives, with back-pressure from the client to the node.
"""

from runloft.listeners.objects.listener import ObjectListener

__all__ = ["ObjectListener"]
