#!/bin/sh
cd "$(dirname "$0")/../.." && exec node review/4/run.mjs
