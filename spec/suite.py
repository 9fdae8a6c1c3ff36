"""The models and mutants that ``python -m spec`` checks."""

from spec.claims import ClaimsModel
from spec.configuration import ConfigurationModel
from spec.handover import HandoverModel
from spec.mutants import CLAIM_MUTANTS, FOLD_MUTANTS, HANDOVER_MUTANTS

SAFETY = (
    ClaimsModel((2, 1), copies=2, dispatches=2),
    ClaimsModel((1, 1, 1), copies=2),
    ClaimsModel((2, 1, 1)),
    ConfigurationModel(copies=2),
    ConfigurationModel(changes=3),
    ConfigurationModel(nodes=3),
    HandoverModel(non_idempotent=True),
    HandoverModel(non_idempotent=False),
)
LIVENESS = (
    ClaimsModel((2, 1), dispatches=2),
    ConfigurationModel(truncations=0),
    HandoverModel(non_idempotent=True),
    HandoverModel(non_idempotent=False, count=2),
)
MUTANTS = CLAIM_MUTANTS + FOLD_MUTANTS + HANDOVER_MUTANTS
