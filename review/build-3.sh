#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and following start. The gateway is built with the
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
exec go build -tags review -o target/stand-in-3 ./review/stand-in-3
