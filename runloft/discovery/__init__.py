"""The node list: watched at the discovery agent, decoded and handed on as ``NodeListUpdate`` events."""
