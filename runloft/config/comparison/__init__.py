"""Several files side by side, and what a change does."""
