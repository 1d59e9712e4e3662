# Linter version; fetched through the module proxy.
LINT := github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

.PHONY: build test lint vet race bench demo fmt

build:
	CGO_ENABLED=1 go build -o bin/lentilwood .

# test runs what CI runs: formatter, linter, vet, race tests.
test: lint vet race

lint:
	go run $(LINT) fmt --diff ./...
	go run $(LINT) run ./...

fmt:
	go run $(LINT) fmt ./...

vet:
	go vet ./...

race:
	go test -race ./...

bench:
	go test -run '^$$' -bench . -benchtime 1x ./...

demo:
	go run . demo
