"""Scale runs: measure how each role's resource use grows with fleet size, and how long events take."""
