#!/bin/sh
# Builds the program that runs the cases 6 to 10 with its stand-ins, into target/review/.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review/ ./review/cases
