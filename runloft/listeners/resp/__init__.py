"""The RESP2 listener: commands of clients become requests, replies go out in the commands' order."""

from runloft.listeners.resp.listener import RespListener

__all__ = ["RespListener"]
