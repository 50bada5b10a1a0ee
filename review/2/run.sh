#!/bin/sh
CASE=2
. "$(dirname "$0")/../lib/run-case.sh"
