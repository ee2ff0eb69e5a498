#!/bin/sh
# Builds the stand-ins of the scripts: those of the project in platform/src/__fixtures__, which the build of the deploy file compiles too.
cd "$(dirname "$0")/.." && npx tsc -b platform
