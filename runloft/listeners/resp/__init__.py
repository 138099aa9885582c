"""The RESP2 listener: translates commands into requests and writes the replies in command order."""

from runloft.listeners.resp.listener import RespListener

__all__ = ["RespListener"]
