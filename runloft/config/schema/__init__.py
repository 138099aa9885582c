"""Declaring and reading records: kinds of values, records, layers, and the lines of a TOML file."""
