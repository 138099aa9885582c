"""The object API's listener: HTTP in S3's terms, served by the same core as the platform's protocol.

A connection carries one request at a time. A request becomes a ``RequestSpec`` like any other; its response
is passed on as it comes, under back-pressure from the client.
"""

from runloft.listeners.objects.listener import ObjectListener

__all__ = ["ObjectListener"]
