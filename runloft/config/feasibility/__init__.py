"""Whether a fleet's nodes can serve its volumes' reserves."""
