"""Declaration and reading of records: value kinds, records, layers, and line numbers of TOML keys."""
