"""Models of the core protocol, checked exhaustively by ``python -m spec``."""
