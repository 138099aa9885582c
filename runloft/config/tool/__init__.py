"""Actions of ``runloft config`` and their output."""
