# Everything installs into .venv; Python 3.11, pip and make are all it needs.
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PROJECTS := pyproject.toml $(wildcard packages/*/pyproject.toml) platform/pyproject.toml

.PHONY: run test lint format check-model bench bench-decisions bench-limits bench-capacity
.PHONY: bench-handover bench-moves bench-claims soak experiment

SEEDS ?= 10
POLICIES ?= all,no-backlogs,no-affinity
DEPLOYMENT ?= benchmarks/experiments/deployments/seven-nodes.toml

$(STAMP): $(PROJECTS)
	test -x $(BIN)/python || python3 -m venv $(VENV)
	test -x $(BIN)/uv || $(BIN)/python -m pip install --quiet uv==0.13.9
	$(BIN)/uv sync --quiet --python $(BIN)/python
	touch $(STAMP)

run: $(STAMP)
	$(BIN)/endive-node --embedded

test: $(STAMP)
	$(BIN)/pytest -n 6 --dist loadfile -m "not (large or crowd or timing)"
	$(BIN)/pytest -m timing || test $$? -eq 5 # 5: all of them are deselected
	$(BIN)/pytest -m large || test $$? -eq 5
	$(BIN)/pytest -m crowd || test $$? -eq 5

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

check-model: $(STAMP)
	$(BIN)/python -m spec

bench: $(STAMP)
	$(BIN)/python benchmarks/bench_path.py

bench-decisions: $(STAMP)
	$(BIN)/python benchmarks/bench_decisions.py

bench-capacity: $(STAMP)
	$(BIN)/python benchmarks/bench_capacity.py

bench-handover: $(STAMP)
	$(BIN)/python benchmarks/bench_handover.py

bench-claims: $(STAMP)
	PYTHONPATH=tests $(BIN)/python benchmarks/bench_claims.py

bench-moves: $(STAMP)
	$(BIN)/python benchmarks/bench_moves.py

bench-limits: $(STAMP)
	$(BIN)/python benchmarks/bench_limits.py

soak: $(STAMP)
	PYTHONPATH=tests $(BIN)/python -m soak.play --seeds $(SEEDS)

experiment: $(STAMP)
	PYTHONPATH=benchmarks $(BIN)/python -m experiments compare $(DEPLOYMENT) \
		--policies $(POLICIES) --seeds $(SEEDS)
