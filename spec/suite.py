"""Everything that ``python -m spec`` sweeps."""

from spec.claims import ClaimsModel
from spec.mutants import CLAIM_MUTANTS

SAFETY = (
    ClaimsModel((2, 1), copies=2, dispatches=2),
    ClaimsModel((1, 1, 1), copies=2),
    ClaimsModel((2, 1, 1)),
)
LIVENESS = (ClaimsModel((2, 1), dispatches=2),)
MUTANTS = CLAIM_MUTANTS
