"""Feasibility of a fleet: checks that its nodes can serve its volumes' reserves."""
