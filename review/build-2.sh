#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and up, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
# shellcheck disable=SC2046
cc -std=gnu11 -O2 -g -D_GNU_SOURCE -Wall -Wextra -Wno-format-truncation -o target/review-2/stage review/stage.c \
	review/stage_platform.c review/stage_members.c review/stage_cases.c \
	$(pkg-config --cflags --libs jansson)
