#!/bin/sh
# Builds the programs of the cases 6 to 10, with their stand-ins, into bin/.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 6 7 8 9 10; do
	if [ -d "review/$n" ]; then
		go build -o "bin/review-$n" "./review/$n"
	fi
done
