.PHONY: build test race check fmt generate demo clean

build:
	go build -o bin/ . ./standin ./bench

test:
	script/test

check:
	script/check

fmt:
	gofmt -w $$(git ls-files '*.go')

generate:
	script/generate

demo: build
	script/demo

clean:
	rm -rf bin
