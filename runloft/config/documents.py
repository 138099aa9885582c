"""Types of decoded documents and of paths into them."""

from typing import Any

Document = dict[str, Any]  # a decoded JSON or TOML table
KeyPath = tuple[str, ...]  # keys from the root to a value; list rows are numbered from 0
