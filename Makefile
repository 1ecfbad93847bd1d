VENV ?= .venv
PY = $(VENV)/bin/python

.PHONY: setup demo test lint format measure slopes parts model soak

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml
	python3.11 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(PY) -m bench.demo

test: setup
	$(PY) -m pytest

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

measure: setup
	$(PY) -m bench.measure

slopes: setup
	$(PY) -m bench.slopes

parts: setup
	$(PY) -m bench.parts

model: setup
	$(PY) -m bench.model

soak: setup
	$(PY) -m bench.soak --seeds 50 --jobs 2 --keep soak-failures
