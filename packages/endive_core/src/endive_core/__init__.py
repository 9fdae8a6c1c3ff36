"""Decisions, records and folds of endivestack: no I/O, no clock of its own."""
