"""The control plane: one committed configuration over all sidecars."""
