# build, test, lint, run: the same commands that deploy/balancer.toml and .ci/run use.
.PHONY: build demo test lint check run sites
build:
	sh -c "$$(sed -n 's/^build = "\(.*\)"$$/\1/p' deploy/balancer.toml)"
	.venv/bin/pip -q install -r requirements-dev.txt
demo: build
	.venv/bin/python -m runloft lab run deploy/demo/demo.toml
test:
	.venv/bin/python -m pytest -q
check: lint test
lint:
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	.venv/bin/lint-imports --no-logo
run:
	exec .venv/bin/python -m runloft serve
# Links the bench's own files beside the other customers' sites, where it looks for them; git ignores the links.
sites:
	ln -sf $(addprefix $(abspath ../given/kit/sites)/,real.json wire.json unlock.txt) deploy/sites/
