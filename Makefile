# Commands for developers and CI; see README.md.
BUILD ?= build
# Range of seeds for `make faults`, FIRST-LAST.
SEEDS ?= 1000-1049

.PHONY: all packages build test check format faults mutants sanitize clean

all: build

packages:
	@bash scripts/install_packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD)

test: build
	@bash scripts/run_tests.sh $(BUILD)

check: build
	@bash scripts/check_format.sh
	@bash scripts/check_platform_words.sh
	@bash scripts/check_log_events.sh
	@bash scripts/lint.sh $(BUILD)
	@bash scripts/run_tests.sh $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs clang-format -i

faults: build
	@MONSOONSAIL_BIN=$(BUILD) MONSOONSAIL_FAULT_SEEDS=$(SEEDS) $(BUILD)/processes_tests FaultSoakTest

mutants: build
	@bash scripts/mutants.sh $(BUILD)

sanitize: packages
	@bash scripts/sanitize.sh address
	@bash scripts/sanitize.sh thread

clean:
	@rm -rf $(BUILD) build-address build-thread
