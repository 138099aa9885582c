"""The flooding client of the laboratory, which runs as a process of its own."""
