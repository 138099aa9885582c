"""Configuration: typed records, their checks, the fleet and its feasibility; opens no sockets."""
