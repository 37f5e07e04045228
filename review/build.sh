#!/bin/sh
# Builds the stand-in that the scripts of the cases start. It needs no network.
set -eu
cd "$(dirname "$0")/stand-in"
GOFLAGS=-buildvcs=false GOWORK=off go build -o ../bin/stand-in .
