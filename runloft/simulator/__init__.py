"""The decisions on the pipe of the simulator: codec, translation, adapter."""
