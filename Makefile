# make demo      runs one deployment on loopback (DEPLOYMENT=flaggsyeri or dalhems)
# make test      runs formatter, vet, linter and all tests
# make measure   runs both deployments and prints "name value unit" lines

DEPLOYMENT ?= flaggsyeri

.PHONY: build demo test check measure

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/standin demo --bin bin --deployment $(DEPLOYMENT)

check:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; echo "gofmt: the files above are not formatted"; exit 1; }
	go vet ./...
	go tool staticcheck ./...

# KNOWN-RED.txt starts each entry with the name of a test and a "|". The cache of test
# results does not know the programs that some packages build and start.
test: check build
	@cat KNOWN-RED.txt
	go test -count=1 -run '^TestCompare$$' -v ./internal/route
	RAPID_SEED=1 go test -count=1 -race -timeout 20m -skip "$$(awk -F' *[|]' '!/^#/ && NF > 1 {printf "%s^%s$$", sep, $$1; sep = "|"}' KNOWN-RED.txt)" ./...

measure: build
	bin/standin measure --bin bin
