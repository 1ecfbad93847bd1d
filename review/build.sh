#!/usr/bin/env bash
# Builds what the scripts start beside the product. The stand-ins need nothing but the
# standard library, so that compiling them is all.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]*
