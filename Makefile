# Tasks: build, test, lint, run.
.PHONY: build test lint run
NPROC := $(shell nproc)
SOURCES := $(shell find include src adapter tests examples tools conformance bench fuzz -name '*.cpp' -o -name '*.h')
# What clang-tidy reads; headers are read with what includes them. Tests, whose macros are another style, and bench and
# fuzz are held to the format alone.
TIDY_SOURCES := $(shell find src adapter tools conformance examples -name '*.cpp')
SCHEMAS := fleet_record_schema fleet_view_schema fleet_wire_schema

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
	cmake --build build -j$(NPROC)

test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=Release
	cmake --build build-test -j$(NPROC)
	tools/ci/run_tests.sh build-test 4

lint:
	tools/ci/check_sources.py
	clang-format --dry-run -Werror $(SOURCES)
	cmake -B build-lint -DCMAKE_BUILD_TYPE=Debug -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
	cmake --build build-lint --target $(SCHEMAS) >/dev/null
	printf '%s\n' $(TIDY_SOURCES) | xargs -P $(NPROC) -n 1 clang-tidy -p build-lint --quiet

run: build
	exec build/marblehub
