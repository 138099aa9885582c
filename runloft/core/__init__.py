"""The reducer: requests, attempts, outcomes and deadlines, with no wire in it."""
