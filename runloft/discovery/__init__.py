"""The watch of discovery's list of storage nodes."""
