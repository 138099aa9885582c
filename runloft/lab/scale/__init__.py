"""Scale runs: what each role spends by size, and how long events take until all is in force again."""
