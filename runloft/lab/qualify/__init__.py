"""``runloft lab qualify``: one run that plays what earlier incidents have settled, with the margins left."""
