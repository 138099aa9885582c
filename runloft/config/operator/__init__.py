"""An operator's file: records, checks and reading."""
