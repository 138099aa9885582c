"""Comparison of several files with each other, and of a configuration before and after a change."""
