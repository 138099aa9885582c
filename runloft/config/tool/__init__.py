"""The actions of ``runloft config`` and what they print."""
