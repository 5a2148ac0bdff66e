#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/stand ends target/goldcreststack review/11/record.txt
