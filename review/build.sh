#!/bin/sh
# Builds the stand-ins of all cases: servers, clients, the operator and the platform.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/reviewlab ./review/_lab
