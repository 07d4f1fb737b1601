#!/usr/bin/env bash
set -uo pipefail
. "$(dirname "$0")/../lib/run.sh"
