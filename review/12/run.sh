#!/usr/bin/env bash
exec "$(dirname "${BASH_SOURCE[0]}")/../standin-3/play.sh" OwnRefusals review/12
