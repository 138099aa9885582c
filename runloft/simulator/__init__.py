"""The decisions on the simulator's pipe."""
