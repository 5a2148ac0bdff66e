#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3/stand ./review/_stand3
