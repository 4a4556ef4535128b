#!/usr/bin/env bash
# Runs this case; with TROUBLE=0, without its disruption. Needs the build of the deploy file and
# review/build.sh.
exec "$(dirname "$0")/../run-case.sh" tenant-name "$(cd "$(dirname "$0")" && pwd)"
