#!/bin/sh
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/stand count target/goldcreststack review/14/record.txt
