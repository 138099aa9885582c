"""A fleet file: its records, its checks, and the operators' files that it generates."""
