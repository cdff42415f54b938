#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into review/bin/. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standins-2/...
