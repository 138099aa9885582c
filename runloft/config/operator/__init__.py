"""An operator's file: its records, its checks, and reading it."""
