VENV ?= .venv
PYTHON = $(VENV)/bin/python
MANIFEST ?= examples/caroni.toml

.PHONY: setup format lint types pytest test demo prove soak bench bench-quick binary proto

setup: $(VENV)/.stamp

$(VENV)/.stamp: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --disable-pip-version-check -r requirements.lock
	touch $@

format: setup
	$(PYTHON) -m ruff format dotterelpier tests bench scripts soak
	$(PYTHON) -m ruff check --fix dotterelpier tests bench scripts soak

lint: setup
	$(PYTHON) -m ruff format --check dotterelpier tests bench scripts soak
	$(PYTHON) -m ruff check dotterelpier tests bench scripts soak

types: setup
	$(PYTHON) -m mypy

pytest: setup
	$(PYTHON) -m pytest

test: lint types pytest

demo: setup
	$(PYTHON) -m tests.demo $(MANIFEST)

proto: setup
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		--grpc_python_out=. dotterelpier/wire/peers.proto
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		dotterelpier/wire/fleet.proto
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		dotterelpier/wire/rollouts.proto
	$(PYTHON) -m grpc_tools.protoc -I. --python_out=. --pyi_out=. \
		dotterelpier/wire/grants.proto

soak: setup
	$(PYTHON) -m soak

prove: setup
	$(PYTHON) -m tests.prove $(P)

binary: setup
	$(PYTHON) -m scripts.build_binary dist/dotterelpier

bench: setup
	$(PYTHON) -m bench.run
	$(PYTHON) -m bench.added_time

bench-quick: setup
	$(PYTHON) -m bench.run --quick
