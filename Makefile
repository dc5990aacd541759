BUILD ?= Build
SEED ?= 1
SECONDS ?= 60
FAULTS ?= all

.PHONY: packages build test lint format demo bench soak node-soak virtual-soak capacity

packages:
	Meta/install-packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja >$(BUILD).cmake.log 2>&1 || { cat $(BUILD).cmake.log; exit 1; }
	rm -f $(BUILD).cmake.log
	cmake --build $(BUILD)

test: build
	Meta/run-tests.sh $(BUILD)

lint: build
	Meta/lint.sh $(BUILD)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

demo: build
	Meta/demo.sh $(BUILD) $(SEED)

bench: build
	$(BUILD)/bergamot-bench --seed $(SEED)
	Meta/path-bench.sh $(BUILD) $(SEED)

capacity: build
	$(BUILD)/bergamot-capacity --seed $(SEED)

soak: build
	Meta/soak.sh $(BUILD) $(SEED) $(SECONDS)

node-soak: build
	Meta/node-soak.sh $(BUILD) $(SEED) $(SECONDS) $(FAULTS)

virtual-soak: build
	BERGAMOT_SEED=$(SEED) BERGAMOT_SECONDS=$(SECONDS) $(BUILD)/TestLibEntry -g RandomisedRun -n FaultsInAnyCombination
