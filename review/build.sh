#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the packages that deploy/system.toml names, and no
# network. The proxy itself is built by the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
cc -std=gnu11 -O2 -Wall -Wextra -D_GNU_SOURCE -o bin/standin \
	cases.c loop.c store.c members.c callers.c rude.c proxies.c -ljansson -lm
