#!/bin/sh
# Builds the stand-ins that the cases start.
set -e
cd "$(dirname "$0")/.."
for n in review/[0-9]*; do
	CGO_ENABLED=0 go build -o "$n/bin/standins" "./$n"
done
