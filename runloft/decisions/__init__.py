"""The decision module: all decisions of the scheduler, without I/O."""
