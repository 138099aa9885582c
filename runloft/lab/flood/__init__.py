"""``runloft lab flood``: a process of its own sends at full speed, beside ordinary clients."""
