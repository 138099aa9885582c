"""RESP2: parsing of clients' commands and storage nodes' replies in place, and encoding."""

from runloft.net.resp2.commands import ParsedCommand, parse_command
from runloft.net.resp2.encoding import encode_bulk_string, encode_command
from runloft.net.resp2.parsing import MAX_BULK, IncompleteError, RespError, SimpleValue, Value, ValueReader
from runloft.net.resp2.replies import (
    LoadReport,
    ParsedReply,
    Reply,
    parse_load_report,
    parse_reply,
    reply_size,
)

__all__ = [
    "MAX_BULK",
    "IncompleteError",
    "LoadReport",
    "ParsedCommand",
    "ParsedReply",
    "Reply",
    "RespError",
    "SimpleValue",
    "Value",
    "ValueReader",
    "encode_bulk_string",
    "encode_command",
    "parse_command",
    "parse_load_report",
    "parse_reply",
    "reply_size",
]
