"""The interface to the simulator, which drives schedulers over a pipe: codec, translation and adapter."""
