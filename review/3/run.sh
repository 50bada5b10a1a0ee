#!/bin/sh
CASE=3
. "$(dirname "$0")/../lib/run-case.sh"
