"""Placements: the shard of each object and upload, in a store shared by all sidecars."""
