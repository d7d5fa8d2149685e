#!/usr/bin/env bash
# Compiles the stand-ins; they need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]
