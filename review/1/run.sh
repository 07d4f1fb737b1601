#!/bin/sh
set -u
. "$(dirname "$0")/../lib/run.sh"
