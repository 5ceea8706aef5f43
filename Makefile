# Tasks: build, test, lint, run.
.PHONY: build test lint run
NPROC := $(shell nproc)
SOURCES := $(shell find include src adapter tests examples tools conformance bench fuzz -name '*.cpp' -o -name '*.h')

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTING=OFF
	cmake --build build -j$(NPROC)

test:
	cmake -B build-test -DCMAKE_BUILD_TYPE=Release
	cmake --build build-test -j$(NPROC)
	tools/ci/run_tests.sh build-test 4

lint:
	clang-format --dry-run -Werror $(SOURCES)

run: build
	exec build/marblehub
