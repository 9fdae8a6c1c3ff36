"""``endivectl``, the command line of the operators' API."""
