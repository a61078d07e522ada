# Entry point to every development task. A target that needs the virtual
# environment creates it.
VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin
RUN = $(BIN)/python
CODE = verbenathread tools tests
PROTOS = $(wildcard proto/verbenathread/schema/*.proto)

.PHONY: help demo test unit lint format bounds bench slopes soak soak-log binary schema settings-page clean

help:
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/:/'

$(VENV)/.stamp: requirements/run.txt requirements/test.txt requirements/dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements/dev.txt
	touch $@

demo: $(VENV)/.stamp ## run both deployments on loopback and print the result of each call
	$(RUN) -m tools.demo

test: lint bounds unit ## run lint, bounds and unit

unit: $(VENV)/.stamp ## run every test
	$(RUN) -m tools.run_tests

lint: $(VENV)/.stamp ## check the format, linters, types and docs/SETTINGS.md; change nothing
	$(BIN)/ruff format --check $(CODE)
	$(BIN)/ruff check $(CODE)
	$(BIN)/flake8 $(CODE)
	$(BIN)/mypy
	$(RUN) -m tools.settings_page --check

format: $(VENV)/.stamp ## format every file and apply the fixes of ruff
	$(BIN)/ruff format $(CODE)
	$(BIN)/ruff check --fix $(CODE)

bounds: $(VENV)/.stamp ## replay the generated scenarios and check the stated bounds
	$(RUN) -m tools.bounds

bench: $(VENV)/.stamp ## measure the cost of a request, of a token and of a decision
	$(RUN) -m tools.bench
	$(RUN) -m tools.bench_decisions

slopes: $(VENV)/.stamp ## measure the costs in docs/CAPACITY.md and write its table
	$(RUN) -m tools.slopes

soak: $(VENV)/.stamp ## run gateways and directory processes under random faults: SEED=n COUNT=n
	$(RUN) -m tools.soak $(if $(SEED),--seed $(SEED)) $(if $(COUNT),--count $(COUNT))

soak-log: $(VENV)/.stamp ## run random fault schedules of the replicated log; prints the first seed
	$(RUN) -m tools.soak_log

binary: $(VENV)/.stamp ## build the single-file executable dist/verbenathread
	$(RUN) -m tools.build_binary

schema: $(VENV)/.stamp ## generate code from proto/
	PATH="$(abspath $(BIN)):$$PATH" $(RUN) -m grpc_tools.protoc -I proto --python_out=. --pyi_out=. --grpclib_python_out=. $(PROTOS)

settings-page: $(VENV)/.stamp ## write docs/SETTINGS.md from the schema
	$(RUN) -m tools.settings_page

clean: ## remove the build output and the virtual environment
	rm -rf build dist $(VENV)
