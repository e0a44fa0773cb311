PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready

.PHONY: demo test sweep check protocol bench

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.txt
	$(BIN)/pip install -q --no-deps -e .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/ploverhatch demo --settings etc/uplands.toml

test: $(STAMP)
	PYTHONHASHSEED=0 $(BIN)/pytest -n 6 tests

sweep: $(STAMP)
	$(BIN)/ploverhatch simulate --seeds 0:2000

check: $(STAMP)
	$(BIN)/ruff format --check ploverhatch tests benchmarks
	$(BIN)/ruff check ploverhatch tests benchmarks
	$(BIN)/mypy
	$(BIN)/lint-imports

bench: $(STAMP)
	$(BIN)/ploverhatch bench slopes
	$(BIN)/python -m benchmarks.hop
	$(BIN)/python -m benchmarks.control

# Needs `pip install 'betterproto[compiler]==1.2.5' grpcio-tools`; the output is committed.
protocol: $(STAMP)
	cd protocol && PATH="$(CURDIR)/$(BIN):$$PATH" $(CURDIR)/$(BIN)/python -m grpc_tools.protoc -I . \
		--python_betterproto_out=$(CURDIR)/ploverhatch/transport ploverhatch.proto
	printf '"""Frames and connections between nodes."""\n' > ploverhatch/transport/__init__.py
