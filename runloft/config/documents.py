"""Names for decoded documents and for places in them."""

from typing import Any

Document = dict[str, Any]  # a decoded JSON or TOML table
KeyPath = tuple[str, ...]  # the keys that lead to a value; rows of a list are counted from 0
