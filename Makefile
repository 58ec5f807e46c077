# Two commands on a fresh machine: `make demo` and `make test`. Each sets up what it needs.
PYTHON ?= python3

.venv/ready: requirements.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch .venv/ready

demo: .venv/ready
	.venv/bin/python -m curlewhall demo

test: .venv/ready
	.venv/bin/python -m pytest -q -n auto --dist load -m "not days"
	.venv/bin/python -m pytest -q -m days

lint: .venv/ready
	.venv/bin/ruff check --no-cache .
	.venv/bin/ruff format --no-cache --check .

proto: .venv/ready
	.venv/bin/python -m grpc_tools.protoc -I curlewhall/settings --python_out=curlewhall/settings \
	    curlewhall/settings/front.proto

.PHONY: demo test lint proto
