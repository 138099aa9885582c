"""The decision module: every decision of the scheduler, and no reading or writing."""
