"""Placements: which shard holds an object or an upload, in a store that all sidecars share."""
