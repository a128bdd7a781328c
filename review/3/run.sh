#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../play.sh" withdrawn review/3
