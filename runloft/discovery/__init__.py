"""The watch on the discovery agent's node list, which posts ``NodeListUpdate`` events."""
